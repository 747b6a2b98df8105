package syncer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// publishKeys publishes changes that add the keys k1 to kN.
func publishKeys(t testing.TB, p *faker.Platform, n int) {
	s, c := newSyncer(p)
	for i := range n {
		assert.NilError(t, s.Publish(context.Background(), 0, c.View().Version(), change(fmt.Sprint("k", i+1)), storer.Transaction{}))
	}
}

// putChange replaces the row of a change.
func putChange(t testing.TB, p *faker.Platform, version uint64, value []byte) {
	_, err := p.Commit(context.Background(), storer.Transaction{Puts: []storer.Put{{Key: storer.ChangeKey(version), Value: value}}})
	assert.NilError(t, err)
}

// encodeChange returns the value of a row.
func encodeChange(t testing.TB, c *wire.Change) []byte {
	value, err := storer.Encode(c)
	assert.NilError(t, err)
	return value
}

// TestUnreadableChange guards against a copy that stays at an old version for good, so that the
// entry refuses all keys, because of one odd change. The gap is stated, and other processes
// have time to supply the change.
func TestUnreadableChange(t *testing.T) {
	for name, value := range map[string][]byte{
		"unreadable":       {0xff},
		"another version":  encodeChange(t, &wire.Change{Version: 9, Keys: []*wire.Key{{Id: "odd"}}}),
		"an older version": encodeChange(t, &wire.Change{Version: 1, Keys: []*wire.Key{{Id: "odd"}}}),
	} {
		t.Run(name, func(t *testing.T) {
			p := faker.NewPlatform()
			publishKeys(t, p, 3)
			putChange(t, p, 2, value)
			s, c := newSyncer(p)
			now := time.Hour
			var unreadable *UnreadableChangeError
			assert.Assert(t, eris.As(s.Pull(context.Background(), now), &unreadable))
			assert.Equal(t, unreadable.Version, uint64(2))
			_, current := s.LastCurrent()
			assert.Assert(t, !current && c.View().Version() == 1)

			now += gapTimeout
			assert.NilError(t, s.Pull(context.Background(), now))
			assert.Equal(t, c.View().Version(), uint64(3))
			assert.Assert(t, c.View().Key("k1") != nil && c.View().Key("k3") != nil && c.View().Key("odd") == nil)
			assert.DeepEqual(t, s.Gaps(), []uint64{2})
			assert.Equal(t, len(c.ChangesAfter(1)), 0)
			assert.Equal(t, len(c.ChangesAfter(2)), 1)
		})
	}
}

// TestUnreadableChangeFromPeer checks that a change which another process supplies in time leaves
// no gap.
func TestUnreadableChangeFromPeer(t *testing.T) {
	p := faker.NewPlatform()
	publishKeys(t, p, 3)
	putChange(t, p, 2, []byte{0xff})
	s, c := newSyncer(p)
	assert.Assert(t, s.Pull(context.Background(), time.Hour) != nil)
	fromPeer := change("k2")
	fromPeer.Version = 2
	assert.NilError(t, c.Apply(fromPeer))
	assert.NilError(t, s.Pull(context.Background(), time.Hour+gapTimeout))
	assert.Equal(t, len(s.Gaps()), 0)
	assert.Equal(t, len(c.View().Keys()), 3)
}

// TestUnreadableSnapshot guards against processes that have no configuration after a start
// because the newest snapshot cannot be read: its changes are all in the table.
func TestUnreadableSnapshot(t *testing.T) {
	for name, value := range map[string][]byte{
		"unreadable":      {0xff},
		"another version": encodeChange(t, &wire.Change{Version: 1 << 40}),
	} {
		t.Run(name, func(t *testing.T) {
			p := faker.NewPlatform()
			const changes = snapshotInterval + 3
			publishKeys(t, p, changes)
			assert.NilError(t, p.Save(context.Background(), storer.SnapshotName(snapshotInterval), value))
			c := configurer.New()
			assert.NilError(t, New(p, p, c).Pull(context.Background(), time.Hour))
			assert.Equal(t, c.View().Version(), uint64(changes))
			assert.Equal(t, len(c.View().Keys()), changes)
		})
	}
}

// FuzzChange checks that no row of a change ends the process or stops the copy for good, and that
// the changes beside it are in force.
func FuzzChange(f *testing.F) {
	f.Add([]byte{0xff})
	f.Add(encodeChange(f, &wire.Change{Version: 2, Drops: []string{"", "/", "key/", "unknown/x"}, Keys: []*wire.Key{{}}, Models: []*wire.Model{{}, {Name: "m", Base: "m"}}, Routes: []*wire.Route{{Host: "h", Prefix: "p"}}}))
	f.Add(encodeChange(f, &wire.Change{Version: 1 << 63, Token: "k2"}))
	f.Fuzz(func(t *testing.T, value []byte) {
		p := faker.NewPlatform()
		publishKeys(t, p, 3)
		putChange(t, p, 2, value)
		s, c := newSyncer(p)
		_ = s.Pull(context.Background(), time.Hour)
		assert.NilError(t, s.Pull(context.Background(), time.Hour+gapTimeout))
		assert.Equal(t, c.View().Version(), uint64(3))
		assert.Assert(t, c.View().Key("k3") != nil)
		_, err := storer.Encode(c.View().Snapshot())
		assert.NilError(t, err)
	})
}
