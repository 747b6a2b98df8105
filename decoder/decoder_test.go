package decoder

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/storer"
)

// TestList guards against a list that cannot be read because of one odd element.
func TestList(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{"null", `"text"`, "-1", "1e400", "4294967296", "1.5", "{}", "[]", deep} {
		var out struct {
			List  List[uint32] `json:"list"`
			Other string       `json:"other"`
		}
		err := Unmarshal([]byte(`{"list":[1,`+odd+`,2],"other":"]"}`), &out)
		assert.NilError(t, err, "%.40s", odd)
		assert.DeepEqual(t, out.List.Items(), []uint32{1, 2})
		assert.Equal(t, len(out.List.Omitted()), 1)
		assert.Equal(t, out.Other, "]")
	}
	var list List[uint32]
	assert.Assert(t, Unmarshal([]byte(`{}`), &list) != nil)
	assert.Assert(t, Unmarshal([]byte(`[1,2`), &list) != nil)
}

// FuzzUnmarshal checks that no text ends the process, and that Unmarshal accepts and decodes
// what encoding/json does, unless it is nested deeply.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`{"a":["\"",{}]}`, `[[`, `]`, `"`, `"\`, strings.Repeat("[", 100) + strings.Repeat("]", 100)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want any
		gotErr, wantErr := Unmarshal(data, &got), json.Unmarshal(data, &want)
		if strings.Count(string(data), "[")+strings.Count(string(data), "{") <= maxNesting {
			assert.Equal(t, gotErr == nil, wantErr == nil)
			assert.DeepEqual(t, got, want)
		}
	})
}

// evenNumber is an element of a list that must be even.
type evenNumber struct {
	N uint8 `json:"n"`
}

func (e *evenNumber) Check() error {
	if e.N%2 != 0 {
		return errOdd
	}
	return nil
}

// errOdd is the error of a number that is not even.
var errOdd = storer.NewFormatError("the number is odd", nil)

// TestListChecks checks that an element that cannot be decoded, is null or fails its check is left out
// alone, and that a value that is no array is an error.
func TestListChecks(t *testing.T) {
	var l List[evenNumber]
	assert.NilError(t, json.Unmarshal([]byte(`[{"n":2},{"n":3},null,{"n":-2},{"n":2.5},{"n":1e3},{"n":"4"},[],7,{"n":4,"m":5}]`), &l))
	assert.DeepEqual(t, l.items, []evenNumber{{2}, {4}})
	var indexes []int
	for _, o := range l.omitted {
		assert.Assert(t, o.cause != nil)
		indexes = append(indexes, o.index)
	}
	assert.DeepEqual(t, indexes, []int{1, 2, 3, 4, 5, 6, 7, 8})
	assert.NilError(t, json.Unmarshal([]byte(`[{"n":2},{"n":6}]`), &l))
	assert.DeepEqual(t, l.items, []evenNumber{{2}, {6}})
	assert.Equal(t, len(l.omitted), 0)
	assert.NilError(t, json.Unmarshal([]byte(`null`), &l))
	assert.Equal(t, len(l.items), 0)
	for _, text := range []string{`{}`, `7`, `"x"`} {
		assert.Assert(t, json.Unmarshal([]byte(text), &l) != nil, "%s", text)
	}
}

// TestLimitNesting checks what is replaced by null, that brackets in texts do not count, and that
// a text that is cut inside a nested value does not become whole.
func TestLimitNesting(t *testing.T) {
	deepest := nested(maxNesting)
	assert.Equal(t, string(limitNesting([]byte(deepest))), deepest)
	deeper := strings.Repeat("[", maxNesting) + `"]\"",{"a":[1,"}"]},[]` + strings.Repeat("]", maxNesting)
	limited := strings.Repeat("[", maxNesting) + `"]\"",null,null` + strings.Repeat("]", maxNesting)
	assert.Equal(t, string(limitNesting([]byte(deeper))), limited)
	brackets := `{"a":"` + strings.Repeat("[", 2*maxNesting) + `\""}`
	assert.Equal(t, string(limitNesting([]byte(brackets))), brackets)
	for _, cut := range []int{1, maxNesting, maxNesting + 1, maxNesting + 5, len(deeper) - 1} {
		assert.Assert(t, !json.Valid(limitNesting([]byte(deeper[:cut]))), "%d", cut)
	}
}

// FuzzLimitNesting checks that a JSON text stays one, that another text does not become one unless
// it is nested too deeply, and that no more than maxNesting levels are left.
func FuzzLimitNesting(f *testing.F) {
	for _, seed := range []string{`{"a":[1,{"b":"]"}]}`, nested(maxNesting + 2), `"\"`, `]]][`, `{"a":` + nested(maxNesting)[:100]} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		limited := limitNesting(slices.Clone(data))
		if json.Valid(data) {
			assert.Assert(t, json.Valid(limited), "%q to %q", data, limited)
		}
		if json.Valid(data) && depthOf(t, data) <= maxNesting {
			assert.Equal(t, string(limited), string(data))
		}
		if json.Valid(limited) {
			assert.Assert(t, depthOf(t, limited) <= maxNesting)
		}
	})
}

// depthOf returns the number of levels of arrays and objects in a JSON text.
func depthOf(t *testing.T, data []byte) int {
	depth, deepest := 0, 0
	d := json.NewDecoder(strings.NewReader(string(data)))
	for {
		token, err := d.Token()
		if err != nil {
			return deepest
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		deepest = max(deepest, depth)
		assert.Assert(t, depth >= 0)
	}
}

// nested returns a JSON list in lists of the given depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
