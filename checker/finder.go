package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

var (
	settingsType = reflect.TypeFor[Settings]()
	spanType     = reflect.TypeFor[Span]()
)

// finder collects faults and knows the line of each field.
type finder struct {
	data   []byte
	lines  map[string]int
	faults []Fault
	// wrong holds the fields whose type is wrong. Nothing is said of their meaning.
	wrong map[string]bool
}

func (f *finder) add(line int, field, text string) {
	f.faults = append(f.faults, Fault{Line: line, Field: field, Text: text})
}

// fault adds a fault of a field's meaning, unless the type of the field or of one around
// it is wrong. A missing field has the line of its parent.
func (f *finder) fault(field, text string) {
	if f.wrong[""] {
		return
	}
	line := 0
	for at := field; at != ""; at = parent(at) {
		if f.wrong[at] {
			return
		}
		if line == 0 {
			line = f.lines[at]
		}
	}
	f.add(max(1, line), field, text)
}

// parent is the field around a field, or empty.
func parent(field string) string { return field[:max(0, strings.LastIndexAny(field, ".["))] }

func (f *finder) failure() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &SettingsError{faults: f.faults}
}

// walk compares a value with the type it is decoded to and records its line. A value of
// the wrong type is replaced by an empty one, so that the others can be decoded.
func (f *finder) walk(v *hujson.Value, field string, t reflect.Type) {
	line := 1 + bytes.Count(f.data[:v.StartOffset], []byte("\n"))
	f.lines[field] = line
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	text := ""
	switch x := v.Value.(type) {
	case *hujson.Object:
		text = f.object(x, field, t)
	case *hujson.Array:
		text = f.array(x, field, t)
	case hujson.Literal:
		text = f.literal(x, t)
	}
	if text != "" {
		f.add(line, field, text)
		f.wrong[field] = true
		v.Value = empty(t)
	}
}

// object checks the members of an object and leaves those that are known. It returns
// what is wrong with the object itself.
func (f *finder) object(o *hujson.Object, field string, t reflect.Type) string {
	if t.Kind() != reflect.Struct {
		return "must not be an object"
	}
	types := map[string]reflect.Type{}
	for i := range t.NumField() {
		types[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	var known []hujson.ObjectMember
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(field+"."+name, ".")
		at := 1 + bytes.Count(f.data[:m.Name.StartOffset], []byte("\n"))
		kind, ok := types[name]
		switch {
		case !ok:
			f.add(at, path, "is not a known field")
		case f.lines[path] != 0:
			f.add(at, path, "is given twice")
		default:
			f.walk(&m.Value, path, kind)
			known = append(known, m)
		}
	}
	o.Members = known
	return ""
}

func (f *finder) array(a *hujson.Array, field string, t reflect.Type) string {
	if t.Kind() != reflect.Slice {
		return "must not be a list"
	}
	for i := range a.Elements {
		f.walk(&a.Elements[i], fmt.Sprintf("%s[%d]", field, i), t.Elem())
	}
	return ""
}

// literal returns what is wrong with a literal of a type.
func (f *finder) literal(l hujson.Literal, t reflect.Type) string {
	text := t.Kind() == reflect.String || t == spanType
	if text != (l.Kind() == '"') {
		return "must be " + kindName(t)
	}
	value := reflect.New(t)
	if err := json.Unmarshal(l, value.Interface()); err == nil && l.Kind() != 'n' {
		return ""
	}
	if t == spanType {
		return fmt.Sprintf("%q is not a duration such as \"6s\"", l.String())
	}
	return "must be " + kindName(t)
}

// empty is a value of a type that says nothing.
func empty(t reflect.Type) hujson.ValueTrimmed {
	switch {
	case t == spanType:
		return hujson.String("0s")
	case t.Kind() == reflect.Struct:
		return &hujson.Object{}
	case t.Kind() == reflect.Slice:
		return &hujson.Array{}
	case t.Kind() == reflect.String:
		return hujson.String("")
	}
	return hujson.Int(0)
}

func kindName(t reflect.Type) string {
	switch {
	case t == spanType:
		return "a duration such as \"6s\""
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.String:
		return "a text"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Uint32:
		return "a whole number from 0 to 4294967295"
	}
	return "a whole number"
}
