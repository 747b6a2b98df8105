package locator

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/wire"
)

// TestRowVersionsBounded guards against memory that grows with each replaced server, and checks
// that an older row of a server that was removed lately is still ignored.
func TestRowVersionsBounded(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		l := newFixture(t, 0).locator
		l.UpdateServer(&wire.ListedServer{Id: "stays", Row: 1, Address: "stays"})
		id := ""
		for i := range 3 * maxRemovedRows {
			id = fmt.Sprint(i)
			l.UpdateServer(&wire.ListedServer{Id: id, Row: 2, Address: id})
			l.UpdateServer(&wire.ListedServer{Id: id, Row: 3, Gone: true})
		}
		l.UpdateServer(&wire.ListedServer{Id: id, Row: 2, Address: id})
		l.mu.Lock()
		defer l.mu.Unlock()
		assert.Equal(t, len(l.rows), maxRemovedRows+1)
		assert.Assert(t, l.fleet.Get(id) == nil)
		assert.Assert(t, l.fleet.Get("stays") != nil)
	})
}
