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
	durationType = reflect.TypeFor[Duration]()
)

// fileChecker collects the faults of one settings file.
type fileChecker struct {
	data []byte
	// fieldLines holds the line of each field, by its path.
	fieldLines map[string]int
	faults     []Fault
	// wrongType holds the paths of fields whose type is wrong. Their values are not
	// checked.
	wrongType map[string]bool
}

// addFault adds a fault at a line.
func (f *fileChecker) addFault(line int, field, text string) {
	f.faults = append(f.faults, Fault{Line: line, Field: field, Text: text})
}

// addValueFault adds a fault of a field's value, unless the type of the field or of an
// enclosing field is wrong. The fault of a missing field has the line of the nearest
// enclosing field in the file, or line 1 if there is none.
func (f *fileChecker) addValueFault(field, text string) {
	if f.wrongType[""] {
		return
	}
	line := 0
	for enclosing := field; enclosing != ""; enclosing = parentField(enclosing) {
		if f.wrongType[enclosing] {
			return
		}
		if line == 0 {
			line = f.fieldLines[enclosing]
		}
	}
	f.addFault(max(1, line), field, text)
}

// parentField returns the path of the field that encloses a field, or "".
func parentField(field string) string { return field[:max(0, strings.LastIndexAny(field, ".["))] }

// settingsError returns the faults as a SettingsError, or nil if there are none.
func (f *fileChecker) settingsError() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &SettingsError{faults: f.faults}
}

// checkTypes compares a value with the Go type that it will be decoded to, and records
// its line. It replaces a value of the wrong type with an empty one, so that the rest of the
// file can be decoded and checked.
func (f *fileChecker) checkTypes(v *hujson.Value, field string, t reflect.Type) {
	line := 1 + bytes.Count(f.data[:v.StartOffset], []byte("\n"))
	f.fieldLines[field] = line
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	problem := ""
	switch x := v.Value.(type) {
	case *hujson.Object:
		problem = f.checkObject(x, field, t)
	case *hujson.Array:
		problem = f.checkArray(x, field, t)
	case hujson.Literal:
		problem = f.checkLiteral(x, t)
	}
	if problem != "" {
		f.addFault(line, field, problem)
		f.wrongType[field] = true
		v.Value = emptyValue(t)
	}
}

// checkObject checks the members of an object and removes those that are unknown or given
// twice. It returns what is wrong with the object itself, or "".
func (f *fileChecker) checkObject(o *hujson.Object, field string, t reflect.Type) string {
	if t.Kind() == reflect.Map {
		f.checkMap(o, field, t.Elem())
		return ""
	}
	if t.Kind() != reflect.Struct {
		return "must not be an object"
	}
	fieldTypes := map[string]reflect.Type{}
	for i := range t.NumField() {
		fieldTypes[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	var known []hujson.ObjectMember
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(field+"."+name, ".")
		line := 1 + bytes.Count(f.data[:m.Name.StartOffset], []byte("\n"))
		fieldType, ok := fieldTypes[name]
		switch {
		case !ok:
			f.addFault(line, path, "is not a known field")
		case f.fieldLines[path] != 0:
			f.addFault(line, path, "is given twice")
		default:
			f.checkTypes(&m.Value, path, fieldType)
			known = append(known, m)
		}
	}
	o.Members = known
	return ""
}

// checkMap checks the types of the values of an object with arbitrary names.
func (f *fileChecker) checkMap(o *hujson.Object, field string, t reflect.Type) {
	for i := range o.Members {
		m := &o.Members[i]
		f.checkTypes(&m.Value, field+"."+m.Name.Value.(hujson.Literal).String(), t)
	}
}

// checkArray checks the types of an array's elements. It returns what is wrong with the
// array itself, or "".
func (f *fileChecker) checkArray(a *hujson.Array, field string, t reflect.Type) string {
	if t.Kind() != reflect.Slice {
		return "must not be a list"
	}
	for i := range a.Elements {
		f.checkTypes(&a.Elements[i], fmt.Sprintf("%s[%d]", field, i), t.Elem())
	}
	return ""
}

// checkLiteral returns what is wrong with a literal that is decoded to type t, or "".
// Null is always wrong.
func (f *fileChecker) checkLiteral(l hujson.Literal, t reflect.Type) string {
	isString := t.Kind() == reflect.String || t == durationType
	if isString != (l.Kind() == '"') {
		return "must be " + describeType(t)
	}
	value := reflect.New(t)
	if err := json.Unmarshal(l, value.Interface()); err == nil && l.Kind() != 'n' {
		return ""
	}
	if t == durationType {
		return fmt.Sprintf("%q is not a duration such as \"6s\"", l.String())
	}
	return "must be " + describeType(t)
}

// emptyValue returns an empty JSON value that can be decoded to a type.
func emptyValue(t reflect.Type) hujson.ValueTrimmed {
	switch {
	case t == durationType:
		return hujson.String("0s")
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return &hujson.Object{}
	case t.Kind() == reflect.Slice:
		return &hujson.Array{}
	case t.Kind() == reflect.String:
		return hujson.String("")
	}
	return hujson.Int(0)
}

// describeType names the JSON values that a type accepts.
func describeType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration such as \"6s\""
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
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
