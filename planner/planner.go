// Package planner checks an operator's intent and turns it into a plan.
//
// A plan contains the configuration version on which it is based and lists what
// confirming it would change. It has no effect until it is confirmed.
package planner

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"oleanderstall/configurer"
	"oleanderstall/placer"
	"oleanderstall/wire"
)

// Limits of an intent: the length of a name in bytes, the replicas of a model and
// the shares of a workspace's limit.
const (
	maxName     = 64
	maxReplicas = placer.MaxSlots
	maxShares   = 32
)

// Fault is one invalid field of an intent. Field is its path, such as
// models[0].base, and Text says what is wrong with it.
type Fault struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// IntentError reports an intent with invalid fields.
type IntentError struct {
	faults []Fault
}

// Error lists the invalid fields in one line.
func (e *IntentError) Error() string {
	parts := make([]string, len(e.faults))
	for i, f := range e.faults {
		parts[i] = f.Field + ": " + f.Text
	}
	return strings.Join(parts, "; ")
}

// Faults returns all invalid fields.
func (e *IntentError) Faults() []Fault { return e.faults }

// add adds an invalid field.
func (e *IntentError) add(field, format string, args ...any) {
	e.faults = append(e.faults, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
}

// Plan checks the intended change against view and returns a plan with the given ID. It
// writes the defaults for missing fields into change. The error is an IntentError.
// Keys are not part of a plan: they are granted and withdrawn directly.
func Plan(id string, view *configurer.View, change *wire.Change) (*wire.Plan, error) {
	faults := &IntentError{}
	applyDefaults(change)
	next := view.With(change)
	if isEmpty(change) {
		faults.add("intent", "names no model, workspace, route, data centre to evacuate or drop")
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
	for i, e := range change.GetEvacuate() {
		checkName(faults, fmt.Sprintf("evacuate[%d].name", i), e.GetName())
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
	// defaultContext is the context length in tokens.
	defaultContext = 4096
	// defaultKV is the KV cache memory of a token in bytes.
	defaultKV = 16 << 10
	// defaultKeep is the longest idle time of a loaded model in seconds.
	defaultKeep = 900
	// defaultIdle is the cost of an idle second as a fraction of the cost of a second
	// of cold start.
	defaultIdle   = 0.02
	defaultShares = 2
)

// applyDefaults sets the fields of models and workspaces that are missing in c.
func applyDefaults(c *wire.Change) {
	for _, m := range c.GetModels() {
		m.Replicas = orDefault(m.Replicas, defaultReplicas)
		m.Context = orDefault(m.Context, defaultContext)
		m.Kv = orDefault(m.Kv, defaultKV)
		m.Keep = orDefault(m.Keep, defaultKeep)
		m.Idle = orDefault(m.Idle, defaultIdle)
	}
	for _, w := range c.GetWorkspaces() {
		w.Weight = orDefault(w.Weight, 1)
		w.Shares = orDefault(w.Shares, defaultShares)
	}
}

// orDefault returns value, or defaultValue if value is the zero value.
func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// isEmpty reports whether c has nothing that a plan could change.
func isEmpty(c *wire.Change) bool {
	return len(c.GetModels())+len(c.GetWorkspaces())+len(c.GetRoutes())+len(c.GetEvacuate())+len(c.GetDrops()) == 0
}

// checkName adds a fault unless name has between 1 and maxName characters, all of
// them lower-case letters, digits, dots, dashes and underscores.
func checkName(e *IntentError, field, name string) {
	if name == "" {
		e.add(field, "is missing")
		return
	}
	rest := strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789.-_")
	if rest != "" || len(name) > maxName {
		e.add(field, "%q is not a name of at most %d of a-z, 0-9, dot, dash and underscore", name, maxName)
	}
}

// maxNumber is the highest number that a rate, a burst, a weight or a cost may have.
const maxNumber = 1e15

// positive reports whether a number is above 0 and not above maxNumber. It is false for a value
// that is not a number.
func positive(number float64) bool { return number > 0 && number <= maxNumber }

// checkWorkspace adds the faults of a workspace.
func checkWorkspace(e *IntentError, field string, w *wire.Workspace) {
	checkName(e, field+".name", w.GetName())
	if !positive(w.GetRate()) {
		e.add(field+".rate", "must be above 0 tokens a second and at most %g", maxNumber)
	}
	if !positive(w.GetBurst()) {
		e.add(field+".burst", "must be above 0 tokens and at most %g", maxNumber)
	}
	if !positive(w.GetWeight()) {
		e.add(field+".weight", "must be above 0 and at most %g", maxNumber)
	}
	if w.GetShares() > maxShares {
		e.add(field+".shares", "must be at most %d", maxShares)
	}
}

// checkModel adds the faults of a model. next is the configuration after the change.
func checkModel(e *IntentError, field string, next *configurer.View, m *wire.Model) {
	checkName(e, field+".name", m.GetName())
	if m.GetBytes() == 0 {
		e.add(field+".bytes", "must be above 0")
	}
	if m.GetReplicas() > maxReplicas {
		e.add(field+".replicas", "must be at most %d", maxReplicas)
	}
	if m.GetIdle() != 0 && !positive(m.GetIdle()) {
		e.add(field+".idle", "must not be negative, and at most %g", maxNumber)
	}
	checkBase(e, field, next, m)
	checkWorkspaces(e, field, next, m.GetWorkspaces())
}

// checkBase adds a fault if the base of m does not exist in next, the configuration after
// the change, or is an adapter.
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

// checkWorkspaces adds a fault for each named workspace that does not exist in next, the
// configuration after the change. field is the path of the object that names them.
func checkWorkspaces(e *IntentError, field string, next *configurer.View, names []string) {
	for i, name := range names {
		if next.Workspace(name) == nil {
			e.add(fmt.Sprintf("%s.workspaces[%d]", field, i), "workspace %q is not known", name)
		}
	}
}

// checkRoute adds the faults of a route. next is the configuration after the change. Paths
// below /v1/ are rejected, since the entry's own calls use them.
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

// checkDrop adds a fault if item names nothing in view, the configuration before the
// change, or if next, the configuration after it, still has an adapter of the dropped model
// or a model for the dropped workspace.
func checkDrop(e *IntentError, field string, view, next *configurer.View, item string) {
	kind, name, ok := strings.Cut(item, "/")
	exists := map[string]bool{
		"model":     view.Model(name) != nil,
		"workspace": view.Workspace(name) != nil,
		"route":     view.Route(name) != nil,
		"evacuate":  view.Evacuated(name),
	}
	if !ok || !exists[kind] {
		e.add(field, "%q is not a known model/NAME, workspace/NAME, route/NAME or evacuate/NAME", item)
		return
	}
	for _, m := range next.Models() {
		if kind == "model" && m.GetBase() == name {
			e.add(field, "adapter %q needs model %q", m.GetName(), name)
		}
		if kind == "workspace" && configurer.AllowsWorkspace(m, name) {
			e.add(field, "model %q is for workspace %q", m.GetName(), name)
		}
	}
}

// steps describes to the operator what the change does.
func steps(view *configurer.View, c *wire.Change) []*wire.Step {
	var list []*wire.Step
	addStep := func(kind, format string, args ...any) {
		list = append(list, &wire.Step{Kind: kind, Text: fmt.Sprintf(format, args...)})
	}
	for _, w := range c.GetWorkspaces() {
		if old := view.Workspace(w.GetName()); old != nil {
			addStep("limit", "workspace %s: rate %g to %g tokens/s, burst %g to %g tokens",
				w.GetName(), old.GetRate(), w.GetRate(), old.GetBurst(), w.GetBurst())
			continue
		}
		addStep("limit", "workspace %s: rate %g tokens/s, burst %g tokens", w.GetName(), w.GetRate(), w.GetBurst())
	}
	for _, m := range c.GetModels() {
		addModelSteps(addStep, view.Model(m.GetName()), m)
	}
	for _, r := range c.GetRoutes() {
		addStep("route", "%s %s goes to pool %s", r.GetMethod(), r.GetPath(), r.GetPool())
	}
	for _, d := range c.GetDrops() {
		if centre, ok := strings.CutPrefix(d, "evacuate/"); ok {
			addStep("return", "data centre %s gets requests and loads again", centre)
			continue
		}
		addStep("drop", "%s is removed; what is loaded of it is unloaded", d)
	}
	return list
}

// addModelSteps adds the steps of a model. old is nil for a new model.
func addModelSteps(addStep func(kind, format string, args ...any), old, m *wire.Model) {
	for _, w := range m.GetWorkspaces() {
		if old == nil || !configurer.AllowsWorkspace(old, w) {
			addStep("access", "workspace %s may use %s", w, m.GetName())
		}
	}
	for _, w := range old.GetWorkspaces() {
		if !configurer.AllowsWorkspace(m, w) {
			addStep("access", "workspace %s may no longer use %s", w, m.GetName())
		}
	}
	if m.GetBase() != "" {
		addStep("load", "adapter %s: loaded on request beside model %s", m.GetName(), m.GetBase())
		return
	}
	addStep("load", "model %s: loaded on the first request, at most %d replicas of %d bytes",
		m.GetName(), m.GetReplicas(), m.GetBytes())
	if old.GetReplicas() > m.GetReplicas() {
		addStep("displace", "model %s: replicas above %d are unloaded when idle", m.GetName(), m.GetReplicas())
	}
}

// DescribeChanges returns one line for each object that the changes affect. An operator
// gets it for a plan that is outdated because of these changes.
func DescribeChanges(changes []*wire.Change) []string {
	var list []string
	for _, c := range changes {
		addChange := func(kind, name string) {
			list = append(list, fmt.Sprintf("version %d by %s: %s/%s", c.GetVersion(), c.GetAuthor(), kind, name))
		}
		for _, m := range c.GetModels() {
			addChange("model", m.GetName())
		}
		for _, w := range c.GetWorkspaces() {
			addChange("workspace", w.GetName())
		}
		for _, k := range c.GetKeys() {
			addChange("key", k.GetId())
		}
		for _, r := range c.GetRoutes() {
			addChange("route", r.GetName())
		}
		for _, e := range c.GetEvacuate() {
			addChange("evacuate", e.GetName())
		}
		for _, d := range c.GetDrops() {
			list = append(list, fmt.Sprintf("version %d by %s: dropped %s", c.GetVersion(), c.GetAuthor(), d))
		}
	}
	return list
}
