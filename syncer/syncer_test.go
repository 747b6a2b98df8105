package syncer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// newSyncer returns a syncer of an empty copy, and the copy.
func newSyncer(p *faker.Platform) (*Syncer, *configurer.Configurer) {
	c := configurer.New()
	return New(p, p, c), c
}

// change returns a change that adds a key named after its token.
func change(token string) *wire.Change {
	return &wire.Change{Token: token, Keys: []*wire.Key{{Id: token, Workspace: "w"}}}
}

// TestConcurrentPublish checks that of several changes published concurrently
// from the same version exactly one is accepted, and that the others fail with an
// error instead of being merged.
func TestConcurrentPublish(t *testing.T) {
	p := faker.NewPlatform()
	const operators = 8
	var wg sync.WaitGroup
	accepted := make([]bool, operators)
	for i := range operators {
		wg.Go(func() {
			s, _ := newSyncer(p)
			err := s.Publish(context.Background(), 0, 0, change(fmt.Sprint("k", i)), storer.Transaction{})
			accepted[i] = err == nil
			var staleBase *StaleBaseError
			assert.Check(t, err == nil || eris.As(err, &staleBase))
		})
	}
	wg.Wait()
	acceptedCount := 0
	s, c := newSyncer(p)
	assert.NilError(t, s.Pull(context.Background(), 0))
	for i, ok := range accepted {
		if ok {
			acceptedCount++
		}
		assert.Equal(t, c.View().Key(fmt.Sprint("k", i)) != nil, ok)
	}
	assert.Equal(t, acceptedCount, 1)
	assert.Equal(t, c.View().Version(), uint64(1))
}

// TestPublishLostReply loses the store's reply to an accepted change. Publish must
// read the change back and succeed without writing it again.
func TestPublishLostReply(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	p.LoseAnswers(1)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, change("k"), storer.Transaction{}))
	assert.Equal(t, c.View().Version(), uint64(1))
	assert.Equal(t, p.Commits(), 1)
}

// TestPublishDuringOutage checks that Publish fails during an outage of the store
// and that the change isn't accepted later.
func TestPublishDuringOutage(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	p.SetDown(true)
	assert.Assert(t, s.Publish(context.Background(), 0, 0, change("k"), storer.Transaction{}) != nil)
	p.SetDown(false)
	assert.NilError(t, s.Pull(context.Background(), 0))
	assert.Equal(t, c.View().Version(), uint64(0))
}

// TestStartFromSnapshot checks that a process that starts after many changes
// arrives at the complete configuration.
func TestStartFromSnapshot(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	for i := range 3*snapshotInterval + 5 {
		version := c.View().Version()
		assert.NilError(t, s.Publish(context.Background(), 0, version, change(fmt.Sprint("k", i)), storer.Transaction{}))
	}
	restarted, restored := newSyncer(p)
	assert.NilError(t, restarted.Pull(context.Background(), 0))
	assert.Equal(t, restored.View().Version(), c.View().Version())
	assert.Equal(t, len(restored.View().Keys()), 3*snapshotInterval+5)
}

// staleHeadPlatform is a platform whose reads of the head return an old row once
// head is set.
type staleHeadPlatform struct {
	*faker.Platform
	head *storer.Row
}

// Get implements storer.Table.
func (s *staleHeadPlatform) Get(ctx context.Context, key string) (storer.Row, error) {
	if key == storer.ConfigHeadKey && s.head != nil {
		return *s.head, nil
	}
	return s.Platform.Get(ctx, key)
}

// TestStaleHeadDoesNotRevert checks that a pull that reads an older head than an
// earlier pull leaves the copy at its version.
func TestStaleHeadDoesNotRevert(t *testing.T) {
	p := &staleHeadPlatform{Platform: faker.NewPlatform()}
	c := configurer.New()
	s := New(p, p, c)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, change("k1"), storer.Transaction{}))
	oldHead, err := p.Platform.Get(context.Background(), storer.ConfigHeadKey)
	assert.NilError(t, err)
	assert.NilError(t, s.Publish(context.Background(), 0, 1, change("k2"), storer.Transaction{}))
	p.head = &oldHead
	assert.NilError(t, s.Pull(context.Background(), time.Second))
	assert.Equal(t, c.View().Version(), uint64(2))
}
