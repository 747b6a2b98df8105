// Package decoder decodes JSON texts of other writers so that an odd element of a list costs
// itself alone.
package decoder

import (
	"bytes"
	"encoding/json"

	"oleanderstall/storer"
)

// maxNesting is the number of levels of arrays and objects that are decoded.
const maxNesting = 64

// Unmarshal decodes a JSON text. Arrays and objects nested deeper than maxNesting count as
// null, so that one of them does not make the whole text unreadable.
func Unmarshal(data []byte, out any) error { return json.Unmarshal(limitNesting(data), out) }

// List is a JSON array whose elements are decoded one by one. An element that is null or has
// the wrong form is left out, and the others stay.
type List[T any] struct {
	items   []T
	omitted []json.RawMessage
}

// Items returns the elements that could be decoded.
func (l *List[T]) Items() []T { return l.items }

// Omitted returns the elements that are left out.
func (l *List[T]) Omitted() []json.RawMessage { return l.omitted }

// UnmarshalJSON implements json.Unmarshaler. It returns an error if the value is no array.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	*l = List[T]{}
	for _, element := range elements {
		item, err := decodeElement[T](element)
		if err != nil {
			l.omitted = append(l.omitted, element)
			continue
		}
		l.items = append(l.items, item)
	}
	return nil
}

// decodeElement decodes one element of a list.
func decodeElement[T any](data []byte) (T, error) {
	var item T
	if bytes.Equal(data, []byte("null")) {
		return item, storer.NewFormatError("the element is null", nil)
	}
	err := json.Unmarshal(data, &item)
	return item, err
}

// limitNesting returns data with null in place of the arrays and objects that are nested deeper
// than maxNesting. It returns data itself if there are none. A text that is no JSON stays one.
func limitNesting(data []byte) []byte {
	var out []byte
	depth, start := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
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

// endOfString returns the index of the quotation mark that ends the string which begins at
// start, or the last index if there is none.
func endOfString(data []byte, start int) int {
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
