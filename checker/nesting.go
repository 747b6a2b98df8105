package checker

import (
	"bytes"

	"oleanderstall/decoder"
)

// maxNesting is the number of levels of lists and objects that are parsed, more than any setting
// has. The parser calls itself for each level.
const maxNesting = 100

// limitNesting returns a JSON text with comments with a number in place of each list and object
// that is nested deeper than maxNesting. All else stays at its offset.
func limitNesting(data []byte) []byte {
	limited := bytes.Clone(data)
	depth := 0
	for i := 0; i < len(data); i++ {
		last, opens := i, false
		switch data[i] {
		case '"':
			last = decoder.EndOfString(data, i)
		case '/':
			last = endOfComment(data, i)
		case '[', '{':
			depth++
			opens = depth == maxNesting+1
		case ']', '}':
			depth--
			if depth == maxNesting {
				limited[i] = ' '
			}
		}
		if depth > maxNesting {
			blank(limited[i : last+1])
		}
		if opens {
			limited[i] = '0'
		}
		i = last
	}
	return limited
}

// blank replaces a part of a text by spaces, apart from line breaks.
func blank(text []byte) {
	for i, c := range text {
		if c != '\n' {
			text[i] = ' '
		}
	}
}

// endOfComment returns the last index of the comment that begins at start, or start if there is
// none.
func endOfComment(data []byte, start int) int {
	opening, closing := "", ""
	switch rest := data[start:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		opening, closing = "//", "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		opening, closing = "/*", "*/"
	default:
		return start
	}
	from := start + len(opening)
	if length := bytes.Index(data[from:], []byte(closing)); length >= 0 {
		return from + length + len(closing) - 1
	}
	return len(data) - 1
}
