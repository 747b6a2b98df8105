package configurer

import (
	"crypto/sha256"
	"os"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

func TestMain(m *testing.M) {
	faker.FixRapidSeed()
	os.Exit(m.Run())
}

// TestVersionNeverDecreases checks that changes and snapshots that arrive out of
// order, repeated or late never take the copy back to a lower version.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		last := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := uint64(rapid.IntRange(0, 12).Draw(t, "version"))
			if rapid.Bool().Draw(t, "snapshot") {
				c.Restore(&wire.Change{Version: version})
			} else {
				_ = c.Apply(&wire.Change{Version: version})
			}
			if v := c.View().Version(); v < last {
				t.Fatalf("version went back from %d to %d", last, v)
			}
			last = c.View().Version()
		}
	})
}

// TestApplyGap checks that a change that skips a version is refused, that a
// repeated change is ignored, and which changes are kept.
func TestApplyGap(t *testing.T) {
	c := New()
	var gap *GapError
	assert.Assert(t, eris.As(c.Apply(&wire.Change{Version: 2}), &gap))
	assert.NilError(t, c.Apply(&wire.Change{Version: 1}))
	assert.NilError(t, c.Apply(&wire.Change{Version: 1}))
	assert.Equal(t, len(c.ChangesAfter(0)), 1)
	assert.Equal(t, len(c.ChangesAfter(1)), 0)
}

// TestAuthenticate checks that only the exact ID and secret are accepted, and
// not after the key was withdrawn.
func TestAuthenticate(t *testing.T) {
	hash := sha256.Sum256([]byte("secret"))
	c := New()
	assert.NilError(t, c.Apply(&wire.Change{Version: 1, Keys: []*wire.Key{{Id: "k", Hash: hash[:], Workspace: "w"}}}))
	key, err := c.View().Authenticate("k.secret")
	assert.NilError(t, err)
	assert.Equal(t, key.GetWorkspace(), "w")
	for _, wrong := range []string{"", ".", "k", "k.", "k.other", "x.secret", "k.secret.", "secret"} {
		_, err := c.View().Authenticate(wrong)
		assert.Assert(t, refuser.Is(err, refuser.Unauthorized), wrong)
	}
	assert.NilError(t, c.Apply(&wire.Change{Version: 2, Drops: []string{"key/k"}}))
	_, err = c.View().Authenticate("k.secret")
	assert.Assert(t, refuser.Is(err, refuser.Unauthorized))
}
