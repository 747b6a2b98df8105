// Package configurer holds a process's copy of the accepted configuration.
//
// The configuration has one fleet-wide version that only grows. A copy applies
// changes in their order and never goes back to a lower version, whatever the
// source. Readers use an immutable View.
package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"oleanderstall/refuser"
	"oleanderstall/wire"
)

// GapError reports a change that does not follow the copy's version.
type GapError struct {
	Have uint64
	Got  uint64
}

// Error describes the gap.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow version %d", e.Got, e.Have)
}

// View is the configuration at one version. It must not be changed.
type View struct {
	version    uint64
	models     map[string]*wire.Model
	workspaces map[string]*wire.Workspace
	keys       map[string]*wire.Key
	routes     map[string]*wire.Route
}

// Version returns the version of the view.
func (v *View) Version() uint64 { return v.version }

// Model returns the model or adapter of that name, or nil.
func (v *View) Model(name string) *wire.Model { return v.models[name] }

// Workspace returns the workspace of that name, or nil.
func (v *View) Workspace(name string) *wire.Workspace { return v.workspaces[name] }

// Key returns the key with that id, or nil if it is unknown or withdrawn.
func (v *View) Key(id string) *wire.Key { return v.keys[id] }

// Route returns the route of that name, or nil.
func (v *View) Route(name string) *wire.Route { return v.routes[name] }

// Models returns all models and adapters by name.
func (v *View) Models() []*wire.Model { return ordered(v.models) }

// Workspaces returns all workspaces by name.
func (v *View) Workspaces() []*wire.Workspace { return ordered(v.workspaces) }

// Routes returns all routes by name.
func (v *View) Routes() []*wire.Route { return ordered(v.routes) }

// Keys returns all keys by id.
func (v *View) Keys() []*wire.Key { return ordered(v.keys) }

func ordered[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// Authenticate returns the key that a caller presented as id.secret. The hash is
// compared in constant time.
func (v *View) Authenticate(presented string) (*wire.Key, error) {
	id, secret, _ := strings.Cut(presented, ".")
	hash := sha256.Sum256([]byte(secret))
	key := v.keys[id]
	var want []byte
	if key != nil {
		want = key.GetHash()
	}
	if subtle.ConstantTimeCompare(hash[:], want) != 1 {
		return nil, refuser.New(refuser.Unauthorized, "the key is missing, unknown or withdrawn")
	}
	return key, nil
}

// Serves reports whether workspace may use model.
func Serves(m *wire.Model, workspace string) bool {
	return slices.Contains(m.GetWorkspaces(), workspace)
}

// Snapshot returns the whole view as one change.
func (v *View) Snapshot() *wire.Change {
	return &wire.Change{
		Version:    v.version,
		Models:     v.Models(),
		Workspaces: v.Workspaces(),
		Keys:       v.Keys(),
		Routes:     v.Routes(),
	}
}

// With returns the view after c.
func (v *View) With(c *wire.Change) *View {
	n := &View{
		version:    c.GetVersion(),
		models:     maps.Clone(v.models),
		workspaces: maps.Clone(v.workspaces),
		keys:       maps.Clone(v.keys),
		routes:     maps.Clone(v.routes),
	}
	for _, name := range c.GetDrops() {
		n.drop(name)
	}
	for _, m := range c.GetModels() {
		n.models[m.GetName()] = m
	}
	for _, w := range c.GetWorkspaces() {
		n.workspaces[w.GetName()] = w
	}
	for _, k := range c.GetKeys() {
		n.keys[k.GetId()] = k
	}
	for _, r := range c.GetRoutes() {
		n.routes[r.GetName()] = r
	}
	return n
}

func (v *View) drop(item string) {
	kind, name, _ := strings.Cut(item, "/")
	switch kind {
	case "model":
		delete(v.models, name)
	case "workspace":
		delete(v.workspaces, name)
	case "key":
		delete(v.keys, name)
	case "route":
		delete(v.routes, name)
	}
}

// history is the number of changes kept to hand on to other processes.
const history = 64

// Configurer is a process's copy. It is safe for concurrent use.
type Configurer struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	changes []*wire.Change
}

// New returns an empty copy at version 0.
func New() *Configurer {
	c := &Configurer{}
	c.view.Store(empty())
	return c
}

func empty() *View {
	return &View{
		models:     map[string]*wire.Model{},
		workspaces: map[string]*wire.Workspace{},
		keys:       map[string]*wire.Key{},
		routes:     map[string]*wire.Route{},
	}
}

// View returns the copy at its present version.
func (c *Configurer) View() *View { return c.view.Load() }

// Apply brings the copy forward by one change. A change that the copy has
// already is passed over; one that leaves a gap is a GapError.
func (c *Configurer) Apply(ch *wire.Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view.Load()
	if ch.GetVersion() <= v.version {
		return nil
	}
	if ch.GetVersion() != v.version+1 {
		return &GapError{Have: v.version, Got: ch.GetVersion()}
	}
	c.view.Store(v.With(ch))
	c.changes = append(c.changes, ch)
	if len(c.changes) > history {
		c.changes = slices.Clone(c.changes[len(c.changes)-history:])
	}
	return nil
}

// Restore replaces the copy by a snapshot, unless the snapshot is not newer.
func (c *Configurer) Restore(s *wire.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.GetVersion() <= c.view.Load().version {
		return
	}
	c.view.Store(empty().With(s))
	c.changes = nil
}

// After returns the changes that follow version, or nil if they are no longer
// kept or there are none.
func (c *Configurer) After(version uint64) []*wire.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, ch := range c.changes {
		if ch.GetVersion() == version+1 {
			return slices.Clone(c.changes[i:])
		}
	}
	return nil
}
