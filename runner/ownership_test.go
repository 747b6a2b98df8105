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

	"oleanderstall/faker"
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

// tableEras are the eras of a store, of which a process hears at an instant.
type tableEras struct {
	*platform.Store
	heardAt time.Duration
}

// EraKnownSince implements storeEras.
func (e *tableEras) EraKnownSince(uint64) time.Duration { return e.heardAt }

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
			adopter := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "r", Started: 1, Adopted: true}, time.Second, &tableEras{Store: table})
			var sidecarErr *HasSidecarError
			err := adopter.reacquire(t.Context(), table)
			assert.Assert(t, errors.As(err, &sidecarErr), "%v", err)
			sidecar := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second, &tableEras{Store: table})
			assert.NilError(t, sidecar.reacquire(t.Context(), table))
			assert.Equal(t, sidecar.Fence(), uint64(0))
			now += time.Second
			assert.Assert(t, sidecar.Fence() > row.Version)
			current, err := table.Get(t.Context(), storer.HolderKey("127.0.0.1:8000"))
			assert.NilError(t, err)
			var holder holderRow
			assert.NilError(t, json.Unmarshal(current.Value, &holder))
			assert.Assert(t, holder.sameProcess(sidecar.self) && holder.Waits)
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
			sidecar := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second, &tableEras{Store: table})
			assert.NilError(t, sidecar.reacquire(t.Context(), table))
			first := sidecar.Fence()
			assert.Assert(t, first > 0)
			rows.Restore(copied)
			other := newOwnership(clock, "127.0.0.1:8000", holderRow{Holder: "o", Started: 1}, time.Second, &tableEras{Store: newTable()})
			if taken {
				otherTable := newTable()
				other.eras = &tableEras{Store: otherTable, heardAt: now}
				assert.NilError(t, other.reacquire(t.Context(), otherTable))
				assert.Equal(t, other.Fence(), uint64(0), "the sidecar may not have heard of the era yet")
				now += 2 * time.Second
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
	sidecar := newOwnership(func() time.Duration { return now }, "127.0.0.1:8000", holderRow{Holder: "s", Started: 2}, time.Second, &tableEras{Store: table})
	row := putRow(t, table, sidecar.key, `{"holder":"s","started":1}`)
	rows.Restore(copied)
	rows.PutRaw(storer.FleetTable, strings.TrimPrefix(sidecar.key, storer.FleetTable+"/"), []byte(`{"holder":"o","started":1}`))
	var eraErr *storer.EraError
	assert.Assert(t, errors.As(sidecar.acquire(t.Context(), table, row), &eraErr))
	assert.NilError(t, sidecar.reacquire(t.Context(), table))
	assert.Equal(t, sidecar.Fence(), uint64(0))
	now += 2 * time.Second
	assert.Assert(t, sidecar.Fence() > 0)
}

// TestFirstOrderInLaterEra guards against a first order within the lease of a holder whose row the
// store has lost: a process that finds no row in a later era, or the row of an adopting process in a
// copy, waits until the right of an earlier holder has ended and a lease has passed since its last
// order. In the first era, and in a store without eras, nothing waits.
func TestFirstOrderInLaterEra(t *testing.T) {
	const lease = time.Second
	for _, c := range []struct {
		name     string
		restores int
		row      string
		adopted  bool
		// heardAgo is the time for which the era has been known.
		heardAgo time.Duration
		wait     time.Duration
	}{
		{name: "first era"},
		{name: "first era, adopting", adopted: true},
		{name: "row of another adoption", row: `{"holder":"r","started":1,"adopted":true}`, wait: 2 * lease},
		{name: "row of another adoption, adopting", row: `{"holder":"r","started":1,"adopted":true}`, adopted: true, wait: 2 * lease},
		{name: "row of another sidecar", row: `{"holder":"r","started":1}`, wait: lease},
		{name: "no row", restores: 1, wait: 2 * lease},
		{name: "no row, adopting", restores: 1, adopted: true, wait: 2 * lease},
		{name: "no row, known for a while", restores: 1, adopted: true, heardAgo: 3 * lease / 2, wait: lease / 2},
		{name: "no row, known for long", restores: 3, adopted: true, heardAgo: time.Minute},
		{name: "own row of an earlier adoption", restores: 1, row: `{"holder":"s","started":1,"adopted":true}`, adopted: true, wait: 2 * lease},
		{name: "own row of an earlier start", restores: 1, row: `{"holder":"s","started":1}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			rows := imitator.NewRowStore()
			server := httptest.NewServer(rows)
			t.Cleanup(server.Close)
			table := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
			now := time.Hour
			for range c.restores {
				rows.Restore(time.Now())
			}
			o := newOwnership(func() time.Duration { return now }, "127.0.0.1:8000", holderRow{Holder: "s", Started: 2, Adopted: c.adopted}, lease,
				&tableEras{Store: table, heardAt: now - c.heardAgo})
			if c.row != "" {
				putRow(t, table, o.key, c.row)
			}
			assert.NilError(t, o.reacquire(t.Context(), table))
			if c.wait > 0 {
				now += c.wait - time.Millisecond
				assert.Equal(t, o.Fence(), uint64(0))
				now += time.Millisecond
			}
			assert.Assert(t, o.Fence() > 0)
		})
	}
}

// TestRenewalAfterSkippedEra guards against a sidecar that orders at once because it held its engine
// two eras ago: another process may have held it in the era between, whose rows are lost.
func TestRenewalAfterSkippedEra(t *testing.T) {
	rows := imitator.NewRowStore()
	server := httptest.NewServer(rows)
	t.Cleanup(server.Close)
	table := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
	now := time.Hour
	copied := time.Now()
	eras := &tableEras{Store: table}
	sidecar := newOwnership(func() time.Duration { return now }, "127.0.0.1:8000", holderRow{Holder: "s", Started: 1}, time.Second, eras)
	assert.NilError(t, sidecar.reacquire(t.Context(), table))
	rows.Restore(copied)
	rows.Restore(copied)
	table.SetEra(rows.Era())
	eras.heardAt = now
	sidecar.renew()
	assert.NilError(t, sidecar.reacquire(t.Context(), table))
	assert.Equal(t, sidecar.Fence(), uint64(0))
	now += 2 * time.Second
	assert.Assert(t, sidecar.Fence() > 0)
}

// TestRestartDuringWait guards against a sidecar that starts again while its first order waits for
// the right of another holder, finds its own row and orders at once. Once the wait is over and
// confirmed, a start does not wait.
func TestRestartDuringWait(t *testing.T) {
	for _, row := range []string{"", `{"holder":"r","started":1,"adopted":true}`} {
		rows := imitator.NewRowStore()
		server := httptest.NewServer(rows)
		t.Cleanup(server.Close)
		table := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string, time.Duration, error) {}, func(uint64) {})
		now := time.Hour
		eras := &tableEras{Store: table, heardAt: now}
		newSidecar := func(started int64) *ownership {
			return newOwnership(func() time.Duration { return now }, "127.0.0.1:8000", holderRow{Holder: "s", Started: started}, time.Second, eras)
		}
		if row == "" {
			rows.Restore(time.Now())
		} else {
			putRow(t, table, storer.HolderKey("127.0.0.1:8000"), row)
		}
		first := newSidecar(1)
		assert.NilError(t, first.reacquire(t.Context(), table))
		assert.Equal(t, first.Fence(), uint64(0))
		now += 100 * time.Millisecond
		second := newSidecar(2)
		assert.NilError(t, second.reacquire(t.Context(), table))
		now += 1900 * time.Millisecond
		assert.Equal(t, second.Fence(), uint64(0))
		now += 100 * time.Millisecond
		acquired := second.Fence()
		assert.Assert(t, acquired > 0)
		second.confirm(t.Context(), table, faker.DiscardLogger())
		assert.Assert(t, second.Fence() > acquired)
		third := newSidecar(3)
		assert.NilError(t, third.reacquire(t.Context(), table))
		assert.Assert(t, third.Fence() > second.Fence())
	}
}
