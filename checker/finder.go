package checker

import (
	"bytes"
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
}

func (f *finder) add(line int, field, text string) {
	f.faults = append(f.faults, Fault{Line: line, Field: field, Text: text})
}

// fault adds a fault of a field; a missing field has the line of its parent.
func (f *finder) fault(field, text string) {
	at := field
	for at != "" && f.lines[at] == 0 {
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	f.add(max(1, f.lines[at]), field, text)
}

func (f *finder) failure() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &SettingsError{faults: f.faults}
}

// walk compares a value with the type it is decoded to and records its line.
func (f *finder) walk(v *hujson.Value, field string, t reflect.Type) {
	line := 1 + bytes.Count(f.data[:v.StartOffset], []byte("\n"))
	f.lines[field] = line
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		f.object(x, field, t, line)
	case *hujson.Array:
		f.array(x, field, t, line)
	case hujson.Literal:
		f.literal(x, field, t, line)
	}
}

func (f *finder) object(o *hujson.Object, field string, t reflect.Type, line int) {
	if t.Kind() != reflect.Struct {
		f.add(line, field, "must not be an object")
		return
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(field+"."+name, ".")
		at := 1 + bytes.Count(f.data[:m.Name.StartOffset], []byte("\n"))
		kind, ok := known[name]
		switch {
		case !ok:
			f.add(at, path, "is not a known field")
		case f.lines[path] != 0:
			f.add(at, path, "is given twice")
		default:
			f.walk(&m.Value, path, kind)
		}
	}
}

func (f *finder) array(a *hujson.Array, field string, t reflect.Type, line int) {
	if t.Kind() != reflect.Slice {
		f.add(line, field, "must not be a list")
		return
	}
	for i := range a.Elements {
		f.walk(&a.Elements[i], fmt.Sprintf("%s[%d]", field, i), t.Elem())
	}
}

func (f *finder) literal(l hujson.Literal, field string, t reflect.Type, line int) {
	want := map[reflect.Kind]hujson.Kind{
		reflect.String:  '"',
		reflect.Int:     '0',
		reflect.Int64:   '0',
		reflect.Uint32:  '0',
		reflect.Float64: '0',
	}[t.Kind()]
	if t == spanType {
		want = '"'
	}
	got := l.Kind()
	if got != want {
		f.add(line, field, "must be "+kindName(t))
		return
	}
	if t == spanType {
		var s Span
		if err := s.UnmarshalJSON(l); err != nil {
			f.add(line, field, fmt.Sprintf("%q is not a duration such as \"6s\"", l.String()))
		}
	}
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
	}
	return "a whole number"
}
