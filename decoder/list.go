package decoder

import (
	"bytes"
	"encoding/json"

	"oleanderstall/storer"
)

// List is a JSON array whose elements are decoded one by one. An element that cannot be used is
// left out and the others stay: one that is null, that has the wrong form, or that its Check
// method does not accept.
type List[T any] struct {
	items []T
	// omitted are the elements that are left out.
	omitted []Omission
}

// Items returns the elements that can be used.
func (l *List[T]) Items() []T { return l.items }

// Omitted returns the elements that are left out.
func (l *List[T]) Omitted() []Omission { return l.omitted }

// Omission is an element of a list that is left out.
type Omission struct {
	index int
	data  json.RawMessage
	cause error
}

// Index returns the position of the element in the list.
func (o Omission) Index() int { return o.index }

// Data returns the JSON text of the element.
func (o Omission) Data() []byte { return o.data }

// Cause returns why the element cannot be used.
func (o Omission) Cause() error { return o.cause }

// Checker is an element of a list with a check of its own.
type Checker interface {
	// Check returns an error if the element cannot be used.
	Check() error
}

// UnmarshalJSON implements json.Unmarshaler. It returns an error if the value is no array.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	if l.decodeSound(data) {
		return nil
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	*l = List[T]{items: make([]T, 0, len(elements))}
	for i, element := range elements {
		item, err := decodeElement[T](element)
		if err != nil {
			l.omitted = append(l.omitted, Omission{index: i, data: element, cause: err})
			continue
		}
		l.items = append(l.items, item)
	}
	return nil
}

// decodeElement decodes and checks one element of a list.
func decodeElement[T any](data []byte) (T, error) {
	var item T
	if bytes.Equal(data, []byte("null")) {
		return item, storer.NewFormatError("it is null", nil)
	}
	if err := json.Unmarshal(data, &item); err != nil {
		return item, err
	}
	return item, checkElement(&item)
}

// checkElement returns the error of an element's Check method, or nil if it has none.
func checkElement[T any](item *T) error {
	if checked, ok := any(item).(Checker); ok {
		return checked.Check()
	}
	return nil
}

// decodeSound decodes the array as a whole, which takes less time. It reports false if one of the
// elements may have to be left out.
func (l *List[T]) decodeSound(data []byte) bool {
	var items []T
	if bytes.Contains(data, []byte("null")) || json.Unmarshal(data, &items) != nil {
		return false
	}
	for i := range items {
		if checkElement(&items[i]) != nil {
			return false
		}
	}
	*l = List[T]{items: items}
	return true
}
