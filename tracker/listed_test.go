package tracker

import (
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/storer"
	"oleanderstall/wire"
)

// TestRowOutdated guards against a server that is known to leave, or to be gone, and gets requests
// again because the store has come back from an earlier copy of itself.
func TestRowOutdated(t *testing.T) {
	row := func(era, number uint64, born int64, writes uint64) *wire.ListedServer {
		return &wire.ListedServer{Id: "s", Row: storer.NewVersion(era, number), Born: born, Writes: writes}
	}
	gone := func(r *wire.ListedServer) *wire.ListedServer {
		r.Gone = true
		return r
	}
	for _, c := range []struct {
		name       string
		row, known *wire.ListedServer
		want       bool
	}{
		{"the first one", row(1, 5, 1, 3), nil, false},
		{"a later version", row(1, 6, 1, 4), row(1, 5, 1, 3), false},
		{"an earlier version", row(1, 4, 1, 2), row(1, 5, 1, 3), true},
		{"fewer writes in the same era", row(1, 6, 1, 1), row(1, 5, 1, 3), false},
		{"of the copy", row(2, 3, 1, 2), row(1, 5, 1, 3), true},
		{"the same row of the copy", row(2, 5, 1, 3), row(1, 5, 1, 3), true},
		{"written again", row(2, 4, 1, 4), row(1, 5, 1, 3), false},
		{"of the copy, after the removal", row(2, 3, 1, 2), gone(row(1, 7, 1, 3)), true},
		{"written again, after the removal", row(2, 4, 1, 4), gone(row(1, 7, 1, 3)), false},
		{"of the start before", row(2, 3, 1, 9), row(1, 5, 2, 3), true},
		{"of a later start", row(2, 3, 3, 1), row(1, 5, 2, 3), false},
		{"a removal", gone(row(2, 3, 0, 0)), row(1, 5, 1, 3), false},
		{"without a number of writes", row(2, 3, 1, 0), row(1, 5, 1, 3), false},
		{"of the era before", row(1, 9, 1, 9), row(2, 3, 1, 3), true},
	} {
		assert.Check(t, RowOutdated(c.row, c.known) == c.want, c.name)
	}
}
