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
			adopter := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "r", Started: 1, Adopted: true}, time.Second, table.Era)
			var sidecarErr *HasSidecarError
			err := adopter.reacquire(t.Context(), table)
			assert.Assert(t, errors.As(err, &sidecarErr), "%v", err)
			sidecar := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second, table.Era)
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

// TestOwnershipAfterRestore guards against two processes that order one engine, or that have the
// same fencing number, because the store has lost the row of the holder: the holder sends no order
// until it has acquired the engine again, and waits for the lease of one that has meanwhile.
func TestOwnershipAfterRestore(t *testing.T) {
	for _, taken := range []bool{false, true} {
		t.Run(fmt.Sprint("taken meanwhile: ", taken), func(t *testing.T) {
			rows := imitator.NewRowStore()
			server := httptest.NewServer(rows)
			t.Cleanup(server.Close)
			newTable := func() *platform.Store {
				return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
			}
			now := time.Hour
			clock := func() time.Duration { return now }
			table := newTable()
			copied := time.Now()
			sidecar := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second, table.Era)
			assert.NilError(t, sidecar.reacquire(t.Context(), table))
			first := sidecar.Fence()
			assert.Assert(t, first > 0)
			rows.Restore(copied)
			other := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "o", Started: 1}, time.Second, newTable().Era)
			if taken {
				otherTable := newTable()
				other.era = otherTable.Era
				assert.NilError(t, other.reacquire(t.Context(), otherTable))
				assert.Assert(t, other.Fence() > first, "%d after %d", other.Fence(), first)
			}
			table.SetEra(rows.Era())
			assert.Equal(t, sidecar.Fence(), uint64(0))
			sidecar.renew()
			assert.NilError(t, sidecar.reacquire(t.Context(), table))
			if taken {
				assert.Equal(t, sidecar.Fence(), uint64(0))
				now += time.Second
			}
			assert.Assert(t, sidecar.Fence() > max(first, other.fence.Load()))
		})
	}
}

// TestUncertainOwnership guards against a first order within the lease of another holder, whose
// row was overwritten because the store had given its version out again.
func TestUncertainOwnership(t *testing.T) {
	rows := imitator.NewRowStore()
	server := httptest.NewServer(rows)
	t.Cleanup(server.Close)
	table := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
	now := time.Hour
	copied := time.Now()
	sidecar := newOwnership(func() time.Duration { return now }, "127.0.0.1:8000", holderRow{Holder: "s", Started: 2}, time.Second, table.Era)
	row := putRow(t, table, sidecar.key, `{"holder":"s","started":1}`)
	rows.Restore(copied)
	rows.PutRaw(storer.FleetTable, strings.TrimPrefix(sidecar.key, storer.FleetTable+"/"), []byte(`{"holder":"o","started":1}`))
	var eraErr *storer.EraError
	assert.Assert(t, errors.As(sidecar.acquire(t.Context(), table, row), &eraErr))
	assert.NilError(t, sidecar.reacquire(t.Context(), table))
	assert.Equal(t, sidecar.Fence(), uint64(0))
	now += time.Second
	assert.Assert(t, sidecar.Fence() > 0)
}
