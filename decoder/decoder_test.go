package decoder

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
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
