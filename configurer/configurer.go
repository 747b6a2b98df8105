// Package configurer holds a process's copy of the accepted configuration.
//
// The configuration has one fleet-wide version, which only increases. A copy
// applies changes in order and never returns to a lower version, whatever the
// source of a change or snapshot. Readers use an immutable View.
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

// GapError reports a change that is not the direct successor of the copy's
// version: changes in between are missing.
type GapError struct {
	// Have is the version of the copy, Got that of the change.
	Have uint64
	Got  uint64
}

// Error returns a message with both versions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change %d does not follow version %d", e.Got, e.Have)
}

// View is the configuration at one version. It is immutable: callers must not
// modify the messages that it returns.
type View struct {
	version    uint64
	models     map[string]*wire.Model
	workspaces map[string]*wire.Workspace
	keys       map[string]*wire.Key
	routes     map[string]*wire.Route
	pools      map[string]*wire.Pool
	limits     *wire.Limits
	// evacuated are the evacuated data centres, by name.
	evacuated map[string]*wire.EvacuatedCentre
	// routesByHost holds the routes with a prefix, the longest prefix first.
	routesByHost map[string][]*wire.Route
	// omitted names the odd objects that are not in force, as kind/name.
	omitted []string
}

// Omitted names the objects of changes, as kind/name, that are odd and therefore not in force. At
// most maxOmitted are kept, the latest ones.
func (v *View) Omitted() []string { return v.omitted }

// Version returns the version of the view.
func (v *View) Version() uint64 { return v.version }

// Model returns the model or adapter with that name, or nil.
func (v *View) Model(name string) *wire.Model { return v.models[name] }

// Workspace returns the workspace with that name, or nil.
func (v *View) Workspace(name string) *wire.Workspace { return v.workspaces[name] }

// Key returns the API key with that ID, or nil if it is unknown or withdrawn.
func (v *View) Key(id string) *wire.Key { return v.keys[id] }

// Route returns the route with that name, or nil.
func (v *View) Route(name string) *wire.Route { return v.routes[name] }

// Pool returns the pool with that name, or nil.
func (v *View) Pool(name string) *wire.Pool { return v.pools[name] }

// Limits returns the limits on callers' requests, or nil if none are configured.
func (v *View) Limits() *wire.Limits { return v.limits }

// MatchRoute returns the route of host whose prefix is the longest that path begins
// with, or nil if there is none.
func (v *View) MatchRoute(host, path string) *wire.Route {
	for _, r := range v.routesByHost[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// Models returns all models and adapters, sorted by name.
func (v *View) Models() []*wire.Model { return sortedByKey(v.models) }

// Workspaces returns all workspaces, sorted by name.
func (v *View) Workspaces() []*wire.Workspace { return sortedByKey(v.workspaces) }

// Routes returns all routes, sorted by name.
func (v *View) Routes() []*wire.Route { return sortedByKey(v.routes) }

// Pools returns all pools, sorted by name.
func (v *View) Pools() []*wire.Pool { return sortedByKey(v.pools) }

// Keys returns all API keys, sorted by ID.
func (v *View) Keys() []*wire.Key { return sortedByKey(v.keys) }

// sortedByKey returns the values of m in the order of their keys.
func sortedByKey[T any](m map[string]T) []T {
	sorted := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		sorted = append(sorted, m[name])
	}
	return sorted
}

// Authenticate returns the API key that a caller presented as id.secret. It
// compares the hash of the secret in constant time. The error is a
// *refuser.Refusal of kind Unauthorized.
func (v *View) Authenticate(presented string) (*wire.Key, error) {
	id, secret, _ := strings.Cut(presented, ".")
	hash := sha256.Sum256([]byte(secret))
	key := v.keys[id]
	var expected []byte
	if key != nil {
		expected = key.GetHash()
	}
	if subtle.ConstantTimeCompare(hash[:], expected) != 1 {
		return nil, refuser.New(refuser.Unauthorized, "the key is missing, unknown or withdrawn")
	}
	return key, nil
}

// OpaqueKey returns the record of an API key that is one opaque text without an ID.
// Its ID is the hash of the text in hexadecimal.
func OpaqueKey(text, workspace string) *wire.Key {
	hash := sha256.Sum256([]byte(text))
	return &wire.Key{Id: hex.EncodeToString(hash[:]), Hash: hash[:], Workspace: workspace}
}

// AuthenticateOpaque returns the API key that a caller presented as one opaque text. The
// error is a *refuser.Refusal of kind Unauthorized.
func (v *View) AuthenticateOpaque(presented string) (*wire.Key, error) {
	key := v.keys[OpaqueKey(presented, "").GetId()]
	if key == nil {
		return nil, refuser.New(refuser.Unauthorized, "the key is missing, unknown or withdrawn")
	}
	return key, nil
}

// AllowsWorkspace reports whether workspace may use model m.
func AllowsWorkspace(m *wire.Model, workspace string) bool {
	return slices.Contains(m.GetWorkspaces(), workspace)
}

// Snapshot returns the whole configuration as one change, which Restore accepts.
func (v *View) Snapshot() *wire.Change {
	return &wire.Change{
		Version:    v.version,
		Models:     v.Models(),
		Workspaces: v.Workspaces(),
		Keys:       v.Keys(),
		Routes:     v.Routes(),
		Pools:      v.Pools(),
		Limits:     v.limits,
		Evacuate:   sortedByKey(v.evacuated),
	}
}

// With returns a new view with change applied to v. Drops are applied before the
// items that the change sets.
func (v *View) With(change *wire.Change) *View {
	next := &View{
		version:    change.GetVersion(),
		models:     maps.Clone(v.models),
		workspaces: maps.Clone(v.workspaces),
		keys:       maps.Clone(v.keys),
		routes:     maps.Clone(v.routes),
		pools:      maps.Clone(v.pools),
		limits:     v.limits,
		evacuated:  maps.Clone(v.evacuated),
	}
	for _, name := range change.GetDrops() {
		next.remove(name)
	}
	for _, m := range change.GetModels() {
		next.models[m.GetName()] = m
	}
	for _, w := range change.GetWorkspaces() {
		next.workspaces[w.GetName()] = w
	}
	for _, k := range change.GetKeys() {
		next.keys[k.GetId()] = k
	}
	for _, r := range change.GetRoutes() {
		next.routes[r.GetName()] = r
	}
	for _, p := range change.GetPools() {
		next.pools[p.GetName()] = p
	}
	for _, e := range change.GetEvacuate() {
		next.evacuated[e.GetName()] = e
	}
	if change.GetLimits() != nil {
		next.limits = change.GetLimits()
	}
	next.routesByHost = groupByHost(next.routes)
	return next
}

// groupByHost groups the routes with a prefix by host, the longest prefix first
// and equal lengths by name.
func groupByHost(routes map[string]*wire.Route) map[string][]*wire.Route {
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

// remove deletes an item from a view under construction. The qualified name is
// kind/name, such as model/llama. Unknown kinds and names are ignored.
func (v *View) remove(qualifiedName string) {
	kind, name, _ := strings.Cut(qualifiedName, "/")
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
	case "evacuate":
		delete(v.evacuated, name)
	}
}

// maxKeptChanges is the number of recent changes kept for sending to other
// processes.
const maxKeptChanges = 64

// Configurer is a process's copy of the configuration, with the most recent
// changes. It is safe for concurrent use.
type Configurer struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	changes []*wire.Change
}

// New returns an empty copy at version 0.
func New() *Configurer {
	c := &Configurer{}
	c.view.Store(emptyView())
	return c
}

// emptyView returns a view of version 0 without items.
func emptyView() *View {
	return &View{
		models:     map[string]*wire.Model{},
		workspaces: map[string]*wire.Workspace{},
		keys:       map[string]*wire.Key{},
		routes:     map[string]*wire.Route{},
		pools:      map[string]*wire.Pool{},
		evacuated:  map[string]*wire.EvacuatedCentre{},
	}
}

// View returns the configuration at the copy's current version.
func (c *Configurer) View() *View { return c.view.Load() }

// Apply advances the copy by one change. It ignores a change that the copy
// already includes. It returns a *GapError if earlier changes are missing.
func (c *Configurer) Apply(change *wire.Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(change)
}

// apply does the work of Apply. The caller holds the lock.
func (c *Configurer) apply(change *wire.Change) error {
	v := c.view.Load()
	if change.GetVersion() <= v.version {
		return nil
	}
	if change.GetVersion() != v.version+1 {
		return &GapError{Have: v.version, Got: change.GetVersion()}
	}
	c.view.Store(v.withSound(change))
	c.changes = append(c.changes, change)
	if len(c.changes) > maxKeptChanges {
		c.changes = slices.Clone(c.changes[len(c.changes)-maxKeptChanges:])
	}
	return nil
}

// Skip advances the copy by one version without a change, because the change cannot be read. The
// kept changes are discarded, so that none is sent to other processes across the gap. It ignores
// a version that the copy already includes, and returns a *GapError if earlier changes are
// missing.
func (c *Configurer) Skip(version uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.view.Load().version {
		return nil
	}
	err := c.apply(&wire.Change{Version: version})
	if err == nil {
		c.changes = nil
	}
	return err
}

// Restore replaces the copy by a snapshot if the snapshot is newer. The kept
// changes are discarded.
func (c *Configurer) Restore(snapshot *wire.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot.GetVersion() <= c.view.Load().version {
		return
	}
	c.view.Store(emptyView().withSound(snapshot))
	c.changes = nil
}

// ChangesAfter returns the changes that follow version, or nil if there are none or the
// first of them is no longer kept.
func (c *Configurer) ChangesAfter(version uint64) []*wire.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, change := range c.changes {
		if change.GetVersion() == version+1 {
			return slices.Clone(c.changes[i:])
		}
	}
	return nil
}
