package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/platform"
	"oleanderstall/storer"
)

// newRowTable returns a client of an empty store.
func newRowTable(t *testing.T) *platform.Store {
	server := httptest.NewServer(imitator.NewRowStore())
	t.Cleanup(server.Close)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
}

// putRow writes a row and returns it.
func putRow(t *testing.T, table storer.Table, key, value string) storer.Row {
	_, err := table.Commit(t.Context(), storer.Transaction{Puts: []storer.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
	row, err := table.Get(t.Context(), key)
	assert.NilError(t, err)
	return row
}

// TestOddHolderRow guards against an engine that its sidecar never orders because another writer's
// row is in the place of the holder's. The sidecar waits for a lease, since the row may have
// taken the place of another holder's; an adopter does not take the engine at all.
func TestOddHolderRow(t *testing.T) {
	for _, odd := range []string{
		``, `null`, `7`, `[]`, `{}`, "\xff\x00", nested(20_000), `{"holder":7}`, `{"holder":""}`, `{"holder":"x","started":1e30}`, `{"holder":"x","started":"now"}`,
	} {
		t.Run(fmt.Sprintf("%.40q", odd), func(t *testing.T) {
			table := newRowTable(t)
			now := time.Hour
			clock := func() time.Duration { return now }
			row := putRow(t, table, storer.HolderKey("127.0.0.1:8000"), odd)
			adopter := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "r", Started: 1, Adopted: true}, time.Second)
			var sidecarErr *HasSidecarError
			err := adopter.reacquire(t.Context(), table)
			assert.Assert(t, errors.As(err, &sidecarErr), "%v", err)
			sidecar := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second)
			assert.NilError(t, sidecar.reacquire(t.Context(), table))
			assert.Equal(t, sidecar.Fence(), uint64(0))
			now += time.Second
			assert.Assert(t, sidecar.Fence() > row.Version)
			current, err := table.Get(t.Context(), storer.HolderKey("127.0.0.1:8000"))
			assert.NilError(t, err)
			var holder holderRow
			assert.NilError(t, json.Unmarshal(current.Value, &holder))
			assert.Equal(t, holder, sidecar.self)
		})
	}
}
