package configurer

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/wire"
)

// oddChange is a change with odd objects beside sound ones.
func oddChange(version uint64) *wire.Change {
	return &wire.Change{
		Version: version,
		Models:  []*wire.Model{{}, {Name: "self", Base: "self"}, {Name: "m", Idle: math.NaN()}, {Name: "new", Bytes: 1}},
		Workspaces: []*wire.Workspace{
			{},
			{Name: "w", Rate: math.NaN(), Burst: 1},
			{Name: "x", Rate: math.Inf(1)},
			{Name: "y", Burst: -1},
			{Name: "z", Weight: 1e300},
			{Name: "new", Rate: 5, Burst: 5},
		},
		Keys:   []*wire.Key{{Workspace: "w"}, {Id: "new"}},
		Routes: []*wire.Route{{Host: "h", Prefix: "/"}, {Name: "new"}},
		Pools:  []*wire.Pool{{}, {Name: "p", Engines: &wire.Engines{Loads: math.Inf(1)}}, {Name: "new"}},
	}
}

// TestOddObjects guards against limits, models and keys that are spoiled at every process by odd
// objects of a change or a snapshot. The sound objects beside them and before them stay in
// force, and the odd ones are named.
func TestOddObjects(t *testing.T) {
	for name, update := range map[string]func(c *Configurer){
		"change":   func(c *Configurer) { assert.NilError(t, c.Apply(oddChange(2))) },
		"snapshot": func(c *Configurer) { c.Restore(oddChange(2)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := New()
			sound := &wire.Change{Version: 1, Models: []*wire.Model{{Name: "m", Bytes: 1}}, Workspaces: []*wire.Workspace{{Name: "w", Rate: 5, Burst: 5}}}
			assert.NilError(t, c.Apply(sound))
			assert.Equal(t, len(c.View().Omitted()), 0)
			update(c)
			v := c.View()
			assert.Equal(t, v.Version(), uint64(2))
			assert.Assert(t, v.Model("new") != nil && v.Workspace("new") != nil && v.Key("new") != nil && v.Route("new") != nil && v.Pool("new") != nil)
			assert.Assert(t, v.Model("") == nil && v.Model("self") == nil && v.Workspace("") == nil && v.Key("") == nil && v.Route("") == nil && v.Pool("") == nil && v.Pool("p") == nil)
			assert.Assert(t, v.Workspace("x") == nil && v.Workspace("y") == nil && v.Workspace("z") == nil)
			assert.Assert(t, v.MatchRoute("h", "/") == nil)
			// A change keeps what was in force before, a snapshot replaces all of it.
			if name == "change" {
				assert.Equal(t, v.Workspace("w").GetRate(), 5.0)
				assert.Equal(t, v.Model("m").GetBytes(), uint64(1))
			}
			assert.DeepEqual(t, v.Omitted(), []string{
				"model/", "model/self", "model/m", "workspace/", "workspace/w", "workspace/x", "workspace/y", "workspace/z", "key/", "route/", "pool/", "pool/p",
			})
		})
	}
}
