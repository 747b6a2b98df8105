// Package planner answers an operator's intent with a plan.
//
// A plan names the configuration version that it was made from and lists what
// confirming it would change. It has no effect until it is confirmed.
package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// Limits of names and counts in an intent.
const (
	maxName     = 64
	maxReplicas = 1024
	maxShares   = 32
)

// Fault is one wrong field of an intent.
type Fault struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// IntentError lists every wrong field of an intent.
type IntentError struct {
	faults []Fault
}

// Error lists the faults in one line.
func (e *IntentError) Error() string {
	parts := make([]string, len(e.faults))
	for i, f := range e.faults {
		parts[i] = f.Field + ": " + f.Text
	}
	return strings.Join(parts, "; ")
}

// Faults returns the wrong fields.
func (e *IntentError) Faults() []Fault { return e.faults }

func (e *IntentError) add(field, format string, args ...any) {
	e.faults = append(e.faults, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
}

// Plan checks the intended change against view and returns the plan. The change
// is completed with defaults. Keys are granted and withdrawn without a plan.
func Plan(id string, view *configurer.View, change *wire.Change) (*wire.Plan, error) {
	faults := &IntentError{}
	complete(change)
	next := view.With(change)
	if empty(change) {
		faults.add("intent", "names no model, workspace, route or drop")
	}
	for i, w := range change.GetWorkspaces() {
		checkWorkspace(faults, fmt.Sprintf("workspaces[%d]", i), w)
	}
	for i, m := range change.GetModels() {
		checkModel(faults, fmt.Sprintf("models[%d]", i), next, m)
	}
	for i, r := range change.GetRoutes() {
		checkRoute(faults, fmt.Sprintf("routes[%d]", i), next, r)
	}
	for i, d := range change.GetDrops() {
		checkDrop(faults, fmt.Sprintf("drops[%d]", i), view, next, d)
	}
	if len(faults.faults) > 0 {
		return nil, faults
	}
	return &wire.Plan{Id: id, Base: view.Version(), Change: change, Steps: steps(view, change)}, nil
}

// Defaults for fields that an intent leaves out.
const (
	defaultReplicas = 1
	defaultContext  = 4096
	defaultKV       = 16 << 10
	defaultKeep     = 900
	defaultIdle     = 0.02
	defaultShares   = 2
)

func complete(c *wire.Change) {
	for _, m := range c.GetModels() {
		m.Replicas = fallback(m.Replicas, defaultReplicas)
		m.Context = fallback(m.Context, defaultContext)
		m.Kv = fallback(m.Kv, defaultKV)
		m.Keep = fallback(m.Keep, defaultKeep)
		m.Idle = fallback(m.Idle, defaultIdle)
	}
	for _, w := range c.GetWorkspaces() {
		w.Weight = fallback(w.Weight, 1)
		w.Shares = fallback(w.Shares, defaultShares)
	}
}

func fallback[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func empty(c *wire.Change) bool {
	return len(c.GetModels())+len(c.GetWorkspaces())+len(c.GetRoutes())+len(c.GetDrops()) == 0
}

// checkName accepts lower-case letters, digits, dots, dashes and underscores.
func checkName(e *IntentError, field, name string) {
	if name == "" {
		e.add(field, "is missing")
		return
	}
	wrong := strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789.-_")
	if wrong != "" || len(name) > maxName {
		e.add(field, "%q is not a name of at most %d of a-z, 0-9, dot, dash and underscore", name, maxName)
	}
}

func checkWorkspace(e *IntentError, field string, w *wire.Workspace) {
	checkName(e, field+".name", w.GetName())
	if !(w.GetRate() > 0) {
		e.add(field+".rate", "must be above 0 tokens a second")
	}
	if !(w.GetBurst() > 0) {
		e.add(field+".burst", "must be above 0 tokens")
	}
	if !(w.GetWeight() > 0) {
		e.add(field+".weight", "must be above 0")
	}
	if w.GetShares() > maxShares {
		e.add(field+".shares", "must be at most %d", maxShares)
	}
}

func checkModel(e *IntentError, field string, next *configurer.View, m *wire.Model) {
	checkName(e, field+".name", m.GetName())
	if m.GetBytes() == 0 {
		e.add(field+".bytes", "must be above 0")
	}
	if m.GetReplicas() > maxReplicas {
		e.add(field+".replicas", "must be at most %d", maxReplicas)
	}
	if !(m.GetIdle() >= 0) {
		e.add(field+".idle", "must not be negative")
	}
	checkBase(e, field, next, m)
	checkWorkspaces(e, field, next, m.GetWorkspaces())
}

func checkBase(e *IntentError, field string, next *configurer.View, m *wire.Model) {
	if m.GetBase() == "" {
		return
	}
	base := next.Model(m.GetBase())
	switch {
	case base == nil:
		e.add(field+".base", "model %q is not known", m.GetBase())
	case base.GetBase() != "":
		e.add(field+".base", "%q is an adapter itself", m.GetBase())
	}
}

func checkWorkspaces(e *IntentError, field string, next *configurer.View, names []string) {
	for i, name := range names {
		if next.Workspace(name) == nil {
			e.add(fmt.Sprintf("%s.workspaces[%d]", field, i), "workspace %q is not known", name)
		}
	}
}

func checkRoute(e *IntentError, field string, next *configurer.View, r *wire.Route) {
	checkName(e, field+".name", r.GetName())
	if !slices.Contains([]string{"GET", "PUT", "POST", "DELETE", "PATCH"}, r.GetMethod()) {
		e.add(field+".method", "%q is not GET, PUT, POST, DELETE or PATCH", r.GetMethod())
	}
	if !strings.HasPrefix(r.GetPath(), "/") || strings.HasPrefix(r.GetPath(), "/v1/") {
		e.add(field+".path", "%q must begin with / and not with /v1/", r.GetPath())
	}
	if err := mux.NewRouter().Path(r.GetPath()).GetError(); err != nil {
		e.add(field+".path", "%v", err)
	}
	if r.GetPool() == "" {
		e.add(field+".pool", "is missing")
	}
	if r.GetOpen() && len(r.GetWorkspaces()) > 0 {
		e.add(field+".workspaces", "must be empty on an open route")
	}
	checkWorkspaces(e, field, next, r.GetWorkspaces())
}

func checkDrop(e *IntentError, field string, view, next *configurer.View, item string) {
	kind, name, ok := strings.Cut(item, "/")
	known := map[string]bool{
		"model":     view.Model(name) != nil,
		"workspace": view.Workspace(name) != nil,
		"route":     view.Route(name) != nil,
	}
	if !ok || !known[kind] {
		e.add(field, "%q is not a known model/NAME, workspace/NAME or route/NAME", item)
		return
	}
	for _, m := range next.Models() {
		if kind == "model" && m.GetBase() == name {
			e.add(field, "adapter %q needs model %q", m.GetName(), name)
		}
		if kind == "workspace" && configurer.Serves(m, name) {
			e.add(field, "model %q is for workspace %q", m.GetName(), name)
		}
	}
}

// steps lists what the change does, for an operator to read.
func steps(view *configurer.View, c *wire.Change) []*wire.Step {
	var list []*wire.Step
	say := func(kind, format string, args ...any) {
		list = append(list, &wire.Step{Kind: kind, Text: fmt.Sprintf(format, args...)})
	}
	for _, w := range c.GetWorkspaces() {
		if old := view.Workspace(w.GetName()); old != nil {
			say("limit", "workspace %s: rate %g to %g tokens/s, burst %g to %g tokens",
				w.GetName(), old.GetRate(), w.GetRate(), old.GetBurst(), w.GetBurst())
			continue
		}
		say("limit", "workspace %s: rate %g tokens/s, burst %g tokens", w.GetName(), w.GetRate(), w.GetBurst())
	}
	for _, m := range c.GetModels() {
		modelSteps(say, view.Model(m.GetName()), m)
	}
	for _, r := range c.GetRoutes() {
		say("route", "%s %s goes to pool %s", r.GetMethod(), r.GetPath(), r.GetPool())
	}
	for _, d := range c.GetDrops() {
		say("drop", "%s is removed; what is loaded of it is unloaded", d)
	}
	return list
}

func modelSteps(say func(kind, format string, args ...any), old, m *wire.Model) {
	for _, w := range m.GetWorkspaces() {
		if old == nil || !configurer.Serves(old, w) {
			say("access", "workspace %s may use %s", w, m.GetName())
		}
	}
	for _, w := range old.GetWorkspaces() {
		if !configurer.Serves(m, w) {
			say("access", "workspace %s may no longer use %s", w, m.GetName())
		}
	}
	if m.GetBase() != "" {
		say("load", "adapter %s: loaded on request beside model %s", m.GetName(), m.GetBase())
		return
	}
	say("load", "model %s: loaded on the first request, at most %d replicas of %d bytes",
		m.GetName(), m.GetReplicas(), m.GetBytes())
	if old.GetReplicas() > m.GetReplicas() {
		say("displace", "model %s: replicas above %d are unloaded when idle", m.GetName(), m.GetReplicas())
	}
}

// Differences lists what changes did, for the operator whose plan they overtook.
func Differences(changes []*wire.Change) []string {
	var list []string
	for _, c := range changes {
		say := func(kind, name string) {
			list = append(list, fmt.Sprintf("version %d by %s: %s/%s", c.GetVersion(), c.GetAuthor(), kind, name))
		}
		for _, m := range c.GetModels() {
			say("model", m.GetName())
		}
		for _, w := range c.GetWorkspaces() {
			say("workspace", w.GetName())
		}
		for _, k := range c.GetKeys() {
			say("key", k.GetId())
		}
		for _, r := range c.GetRoutes() {
			say("route", r.GetName())
		}
		for _, d := range c.GetDrops() {
			list = append(list, fmt.Sprintf("version %d by %s: dropped %s", c.GetVersion(), c.GetAuthor(), d))
		}
	}
	return list
}
