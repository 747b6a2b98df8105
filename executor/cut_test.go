package executor

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/service"
)

// TestRepeatedAnswerOfService guards against callers who get the answer to another call, from
// the sidecar's call to the service on.
func TestRepeatedAnswerOfService(t *testing.T) {
	p, err := faker.NewRepeater(func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.URL.RawQuery
	})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	x := newFixture(t).sidecar("a", nil, service.New("http://"+p.Address()))
	for _, query := range []string{"1", "2"} {
		call := invocation("", "")
		call.Route, call.Path, call.Query = "look", "/look", query
		answer, err := x.invoke(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.GetBody()), query)
	}
}
