package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHomes guards against a request that is allowed in a region that one of its lists leaves out, and
// against one without lists that is not allowed everywhere.
func TestHomes(t *testing.T) {
	for _, c := range []struct {
		lists      [][]string
		restricted bool
		allowed    []string
	}{
		{nil, false, []string{"a", "b", ""}},
		{[][]string{nil, {}}, false, []string{"a", "b", ""}},
		{[][]string{{"a"}, nil}, true, []string{"a"}},
		{[][]string{nil, {"a", "b"}}, true, []string{"a", "b"}},
		{[][]string{{"a", "b"}, {"b", "c"}}, true, []string{"b"}},
		{[][]string{{"a"}, {"b"}}, true, nil},
		{[][]string{{""}, {"a"}}, true, nil},
		{[][]string{{""}}, true, nil},
	} {
		h := NewHomes(c.lists...)
		assert.Equal(t, h.Restricted(), c.restricted, "%v", c.lists)
		var allowed []string
		for _, region := range []string{"a", "b", ""} {
			if h.Allow(region) {
				allowed = append(allowed, region)
			}
		}
		assert.DeepEqual(t, allowed, c.allowed)
	}
}
