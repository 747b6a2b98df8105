// Package configurer holds a process's copy of the accepted configuration.
//
// The configuration has one fleet-wide version that only grows. A copy applies
// changes in their order and never goes back to a lower version, whatever the
// source. Readers use an immutable View.
package configurer

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
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
	pools      map[string]*wire.Pool
	limits     *wire.Limits
	hosts      map[string][]*wire.Route
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

// Pool returns the pool of that name, or nil.
func (v *View) Pool(name string) *wire.Pool { return v.pools[name] }

// Limits returns what callers may send.
func (v *View) Limits() *wire.Limits { return v.limits }

// Match returns the route of host with the longest prefix that begins path, or
// nil.
func (v *View) Match(host, path string) *wire.Route {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// Models returns all models and adapters by name.
func (v *View) Models() []*wire.Model { return ordered(v.models) }

// Workspaces returns all workspaces by name.
func (v *View) Workspaces() []*wire.Workspace { return ordered(v.workspaces) }

// Routes returns all routes by name.
func (v *View) Routes() []*wire.Route { return ordered(v.routes) }

// Pools returns all pools by name.
func (v *View) Pools() []*wire.Pool { return ordered(v.pools) }

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

// Token returns the record of a caller's key that is one text without an id. Its
// id is derived from its hash.
func Token(text, workspace string) *wire.Key {
	hash := sha256.Sum256([]byte(text))
	return &wire.Key{Id: hex.EncodeToString(hash[:]), Hash: hash[:], Workspace: workspace}
}

// Identify returns the key that a caller presented as one text.
func (v *View) Identify(presented string) (*wire.Key, error) {
	key := v.keys[Token(presented, "").GetId()]
	if key == nil {
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
		Pools:      v.Pools(),
		Limits:     v.limits,
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
		pools:      maps.Clone(v.pools),
		limits:     v.limits,
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
	for _, p := range c.GetPools() {
		n.pools[p.GetName()] = p
	}
	if c.GetLimits() != nil {
		n.limits = c.GetLimits()
	}
	n.hosts = byHost(n.routes)
	return n
}

// byHost groups the routes with a prefix by host, the longest prefix first.
func byHost(routes map[string]*wire.Route) map[string][]*wire.Route {
	hosts := map[string][]*wire.Route{}
	for _, r := range routes {
		if r.GetPrefix() != "" {
			hosts[r.GetHost()] = append(hosts[r.GetHost()], r)
		}
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *wire.Route) int {
			return cmp.Or(len(b.GetPrefix())-len(a.GetPrefix()), cmp.Compare(a.GetName(), b.GetName()))
		})
	}
	return hosts
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
	case "pool":
		delete(v.pools, name)
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
		pools:      map[string]*wire.Pool{},
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
