package planner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// baseView returns a configuration with workspace w, model m for it and adapter a of m.
func baseView(t *testing.T) *configurer.View {
	t.Helper()
	c := configurer.New()
	assert.NilError(t, c.Apply(&wire.Change{
		Version:    1,
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 10, Burst: 100}},
		Models: []*wire.Model{
			{Name: "m", Bytes: 1, Replicas: 2, Workspaces: []string{"w"}},
			{Name: "a", Base: "m", Bytes: 1, Workspaces: []string{"w"}},
		},
	}))
	return c.View()
}

// TestFaults checks that one error lists every invalid field of an intent.
func TestFaults(t *testing.T) {
	intent := `{
  "workspaces": [{"name": "Bad Name", "rate": -1, "burst": 10, "shares": 99}],
  "models": [
    {"name": "x", "workspaces": ["nobody"]},
    {"name": "y", "bytes": 1, "base": "a"},
    {"name": "z", "bytes": 1, "base": "none", "idle": -1}
  ],
  "routes": [{"name": "r", "method": "BREW", "path": "v1", "open": true, "workspaces": ["w"]}],
  "drops": ["model/m", "workspace/w", "model/none", "key/k"]
}`
	change := &wire.Change{}
	assert.NilError(t, protojson.Unmarshal([]byte(intent), change))
	_, err := Plan("p", baseView(t), change)
	var faults *IntentError
	assert.Assert(t, eris.As(err, &faults))
	var fields []string
	for _, f := range faults.Faults() {
		fields = append(fields, f.Field)
	}
	want := "workspaces[0].name workspaces[0].rate workspaces[0].shares models[0].bytes models[0].workspaces[0] " +
		"models[1].base models[2].idle models[2].base routes[0].method routes[0].path routes[0].pool " +
		"routes[0].workspaces routes[0].workspaces[0] drops[0] drops[0] drops[1] drops[2] drops[3]"
	got := strings.Join(fields, " ")
	assert.Assert(t, sameFields(got, want), got)
}

// sameFields reports whether two lists separated by spaces contain the same fields,
// regardless of order and repetition.
func sameFields(a, b string) bool {
	set := func(s string) map[string]bool {
		m := map[string]bool{}
		for _, f := range strings.Fields(s) {
			m[f] = true
		}
		return m
	}
	x, y := set(a), set(b)
	for f := range x {
		if !y[f] {
			return false
		}
	}
	return len(x) == len(y)
}

// TestSteps checks the kinds of the steps for a changed workspace and a model that
// loses a workspace and a replica.
func TestSteps(t *testing.T) {
	change := &wire.Change{
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 20, Burst: 100}},
		Models:     []*wire.Model{{Name: "m", Bytes: 1, Replicas: 1}},
	}
	plan, err := Plan("p", baseView(t), change)
	assert.NilError(t, err)
	assert.Equal(t, plan.GetBase(), uint64(1))
	var kinds []string
	for _, s := range plan.GetSteps() {
		kinds = append(kinds, s.GetKind())
	}
	assert.DeepEqual(t, kinds, []string{"limit", "access", "load", "displace"})
}

// TestExamples checks that the intent of each example is valid for an empty
// configuration.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/intent.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		change := &wire.Change{}
		assert.NilError(t, protojson.Unmarshal(data, change), file)
		_, err = Plan("p", configurer.New().View(), change)
		assert.NilError(t, err, file)
	}
}

// TestInfiniteNumbers guards against a limit or a cost that is infinite, which JSON can state as
// a text: the intent is refused with the names of the fields.
func TestInfiniteNumbers(t *testing.T) {
	intent := `{"workspaces": [{"name": "w", "rate": "Infinity", "burst": "NaN", "weight": "Infinity"}], "models": [{"name": "m", "bytes": 1, "idle": "Infinity"}]}`
	change := &wire.Change{}
	assert.NilError(t, protojson.Unmarshal([]byte(intent), change))
	_, err := Plan("p", baseView(t), change)
	var faults *IntentError
	assert.Assert(t, eris.As(err, &faults))
	var fields []string
	for _, f := range faults.Faults() {
		fields = append(fields, f.Field)
	}
	got := strings.Join(fields, " ")
	assert.Assert(t, sameFields(got, "workspaces[0].rate workspaces[0].burst workspaces[0].weight models[0].idle"), got)
}
