package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// statusOf returns the status that a client reads from an engine which answers with a text.
func statusOf(t *testing.T, text string) (Status, error) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	t.Cleanup(s.Close)
	return New(s.URL).Status(context.Background())
}

// TestOddElementOfStatus guards against an engine that is not used any more because one element
// of a list of its status is odd: what it has loaded beside it stays known.
func TestOddElementOfStatus(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{
		"null", "7", `"m"`, "[]", deep, `{"model":7}`, `{}`, `{"model":"","bytes":5}`,
		`{"model":"odd","bytes":-1}`, `{"model":"odd","fence":1e400}`, `{"model":"odd","slot":4294967296}`, `{"model":"odd","loading":` + deep + `}`,
	} {
		status, err := statusOf(t, `{"capacity":100,"loaded":[{"model":"a","bytes":60},`+odd+`,{"model":"b"}],"memory":["a",null,`+deep+`],"disk":[7,"b"]}`)
		assert.NilError(t, err, "%.60s", odd)
		want := []Loaded{{Model: "a", Bytes: 60}, {Model: "b"}}
		if strings.Contains(odd, `"odd"`) {
			want = append(want, Loaded{Model: "odd", Unreadable: true})
		}
		assert.DeepEqual(t, status, Status{Capacity: 100, Loaded: want, Memory: []string{"a"}, Disk: []string{"b"}})
	}
}

// TestStatusWithoutLists checks that a status whose list is no list, or that is cut off, is an
// error: it does not say that the engine has loaded nothing.
func TestStatusWithoutLists(t *testing.T) {
	for _, text := range []string{"", "{", `{"capacity":100,"loaded":{}}`, `{"capacity":100,"loaded":[{"model":"a"}`, `{"capacity":-1}`} {
		_, err := statusOf(t, text)
		assert.Assert(t, err != nil, text)
	}
}

// FuzzStatus checks that no status ends the process and that each element has a name.
func FuzzStatus(f *testing.F) {
	f.Add([]byte(`{"capacity":100,"loaded":[{"model":"a","bytes":60},null,{"model":"odd","fence":-1}],"memory":["a"]}`))
	f.Add([]byte(`{"loaded":[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		status, err := decodeStatus(data)
		if err != nil {
			return
		}
		for _, l := range status.Loaded {
			assert.Assert(t, l.Model != "")
		}
	})
}
