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

func newSyncer(p *faker.Platform) (*Syncer, *configurer.Configurer) {
	c := configurer.New()
	return New(p, p, c), c
}

func change(token string) *wire.Change {
	return &wire.Change{Token: token, Keys: []*wire.Key{{Id: token, Workspace: "w"}}}
}

// TestRacingOperators lets operators publish from the same version at the same
// time. One wins each version, the others are told, and nothing is merged.
func TestRacingOperators(t *testing.T) {
	p := faker.NewPlatform()
	const operators = 8
	var wg sync.WaitGroup
	won := make([]bool, operators)
	for i := range operators {
		wg.Go(func() {
			s, _ := newSyncer(p)
			err := s.Publish(context.Background(), 0, 0, change(fmt.Sprint("k", i)), storer.Transaction{})
			won[i] = err == nil
			var overtaken *OvertakenError
			assert.Check(t, err == nil || eris.As(err, &overtaken))
		})
	}
	wg.Wait()
	n := 0
	s, c := newSyncer(p)
	assert.NilError(t, s.Pull(context.Background(), 0))
	for i, ok := range won {
		if ok {
			n++
		}
		assert.Equal(t, c.View().Key(fmt.Sprint("k", i)) != nil, ok)
	}
	assert.Equal(t, n, 1)
	assert.Equal(t, c.View().Version(), uint64(1))
}

// TestLostAnswerOfPublish loses the platform's answer to an accepted change. The
// operator is told that it is in force.
func TestLostAnswerOfPublish(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	p.Lose(1)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, change("k"), storer.Transaction{}))
	assert.Equal(t, c.View().Version(), uint64(1))
	assert.Equal(t, p.Commits(), 1)
}

// TestOutageOfPublish publishes during an outage. Nothing is accepted.
func TestOutageOfPublish(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	p.Down(true)
	assert.Assert(t, s.Publish(context.Background(), 0, 0, change("k"), storer.Transaction{}) != nil)
	p.Down(false)
	assert.NilError(t, s.Pull(context.Background(), 0))
	assert.Equal(t, c.View().Version(), uint64(0))
}

// TestStartFromSnapshot starts a process after many changes.
func TestStartFromSnapshot(t *testing.T) {
	p := faker.NewPlatform()
	s, c := newSyncer(p)
	for i := range 3*snapshotEvery + 5 {
		version := c.View().Version()
		assert.NilError(t, s.Publish(context.Background(), 0, version, change(fmt.Sprint("k", i)), storer.Transaction{}))
	}
	fresh, copied := newSyncer(p)
	assert.NilError(t, fresh.Pull(context.Background(), 0))
	assert.Equal(t, copied.View().Version(), c.View().Version())
	assert.Equal(t, len(copied.View().Keys()), 3*snapshotEvery+5)
}

// stale is a platform whose reads of the head lag behind.
type stale struct {
	*faker.Platform
	head *storer.Row
}

func (s *stale) Get(ctx context.Context, key string) (storer.Row, error) {
	if key == storer.HeadKey && s.head != nil {
		return *s.head, nil
	}
	return s.Platform.Get(ctx, key)
}

// TestLaggingReadNeverReverts reads an old head after a newer one.
func TestLaggingReadNeverReverts(t *testing.T) {
	p := &stale{Platform: faker.NewPlatform()}
	c := configurer.New()
	s := New(p, p, c)
	assert.NilError(t, s.Publish(context.Background(), 0, 0, change("k1"), storer.Transaction{}))
	old, err := p.Platform.Get(context.Background(), storer.HeadKey)
	assert.NilError(t, err)
	assert.NilError(t, s.Publish(context.Background(), 0, 1, change("k2"), storer.Transaction{}))
	p.head = &old
	assert.NilError(t, s.Pull(context.Background(), time.Second))
	assert.Equal(t, c.View().Version(), uint64(2))
}
