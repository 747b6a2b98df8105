package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/wire"
)

// TestConfigNews guards against a relay that vouches for an old configuration: only news of the
// version in force counts, as old as they are, and a newer version names the relay that has it.
func TestConfigNews(t *testing.T) {
	config := configurer.New()
	config.Restore(&wire.Change{Version: 5})
	fs := NewFleetState("relay", "c0", config, faker.DiscardLogger())
	now := time.Hour
	link := fs.Join(now, &wire.Link{Name: "entry", Role: Entry, Centre: "c0"})
	fs.OpenFeed(now, "c1", "other")
	fresh := func() time.Duration { return time.Duration(fs.Batch(now, link).GetFresh()) * time.Millisecond }
	assert.Equal(t, fs.SetConfigFresh(now, now-900*time.Millisecond), 900*time.Millisecond)
	assert.Equal(t, fresh(), 900*time.Millisecond)
	for _, c := range []struct {
		name    string
		version uint64
		age     uint32
		want    time.Duration
		newer   uint64
	}{
		{"older news", 5, 1500, 900 * time.Millisecond, 0},
		{"later news", 5, 300, 300 * time.Millisecond, 0},
		{"of an older version", 4, 0, 300 * time.Millisecond, 0},
		{"of a newer version", 7, 0, 300 * time.Millisecond, 7},
		{"of a version in between", 6, 0, 300 * time.Millisecond, 7},
	} {
		fs.ApplyFeed(now, "c1", c.name, &wire.Batch{Config: c.version, Fresh: c.age})
		assert.Check(t, fresh() == c.want, c.name)
		version, address := fs.NewerConfig()
		assert.Check(t, version == c.newer, c.name)
		assert.Check(t, c.newer == 0 || address == "of a newer version", c.name)
	}
	config.Restore(&wire.Change{Version: 7})
	version, _ := fs.NewerConfig()
	assert.Equal(t, version, uint64(0))
}
