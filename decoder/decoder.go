// Package decoder decodes JSON texts of other writers so that an odd element of a list costs
// itself alone.
package decoder

import "encoding/json"

// maxNesting is the number of levels of arrays and objects that are decoded.
const maxNesting = 64

// Unmarshal decodes a JSON text. Arrays and objects nested deeper than maxNesting count as
// null, so that one of them does not make the whole text unreadable.
func Unmarshal(data []byte, out any) error { return json.Unmarshal(limitNesting(data), out) }

// limitNesting returns data with null in place of the arrays and objects that are nested deeper
// than maxNesting. It returns data itself if there are none. A text that is no JSON stays one.
func limitNesting(data []byte) []byte {
	var out []byte
	depth, start := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = EndOfString(data, i)
		case '[', '{':
			if depth++; depth == maxNesting+1 {
				out = append(out, data[start:i]...)
				start = len(data)
			}
		case ']', '}':
			if depth--; depth == maxNesting {
				out = append(out, "null"...)
				start = i + 1
			}
		}
	}
	if out == nil {
		return data
	}
	return append(out, data[start:]...)
}

// EndOfString returns the index of the quotation mark that ends the string which begins at
// start, or the last index if there is none.
func EndOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data) - 1
}
