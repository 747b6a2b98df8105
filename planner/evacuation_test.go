package planner

import (
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/wire"
)

// TestEvacuationSteps guards against a plan that does not name what moves, or what fits nowhere else.
func TestEvacuationSteps(t *testing.T) {
	c := configurer.New()
	assert.NilError(t, c.Apply(&wire.Change{Version: 1, Models: []*wire.Model{
		{Name: "both", Bytes: 10, Replicas: 2},
		{Name: "large", Bytes: 90, Replicas: 1},
		{Name: "middle", Bytes: 60, Replicas: 1},
		{Name: "small", Bytes: 40, Replicas: 1},
		{Name: "other", Bytes: 10, Replicas: 1},
	}}))
	sidecars := []Sidecar{
		{Name: "a", Centre: "x", Pool: "models", Models: []string{"both", "large", "middle", "small"}},
		{Name: "b", Centre: "y", Pool: "models", Models: []string{"both", "other"}, Free: 80},
		{Name: "c", Centre: "z", Pool: "models", Unknown: true, Free: 1000},
		{Name: "d", Centre: "x", Pool: "orders"},
	}
	change := &wire.Change{Evacuate: []*wire.EvacuatedCentre{{Name: "x"}}}
	var got []string
	for _, s := range EvacuationSteps(c.View(), change, sidecars) {
		got = append(got, s.GetKind()+" "+strings.Join(strings.Fields(s.GetText())[:3], " "))
	}
	assert.DeepEqual(t, got, []string{
		"evacuate data centre x:", "unfit pool orders: no", "move model both: 1", "unfit model large: 90", "move model middle: all", "unfit model small: 40",
	})
	assert.Equal(t, len(EvacuationSteps(c.View(), &wire.Change{}, sidecars)), 0)
}

// TestEvacuationIntent checks the faults of an evacuation and of its end.
func TestEvacuationIntent(t *testing.T) {
	c := configurer.New()
	assert.NilError(t, c.Apply(&wire.Change{Version: 1, Evacuate: []*wire.EvacuatedCentre{{Name: "x"}}}))
	for _, tt := range []struct{ intent, fields string }{
		{`{"evacuate":[{"name":"y"}]}`, ""},
		{`{"evacuate":[{"name":"x"}]}`, ""},
		{`{"drops":["evacuate/x"]}`, ""},
		{`{"evacuate":[{"name":"Not A Name"},{}]}`, "evacuate[0].name evacuate[1].name"},
		{`{"drops":["evacuate/y"]}`, "drops[0]"},
	} {
		change := &wire.Change{}
		assert.NilError(t, protojson.Unmarshal([]byte(tt.intent), change))
		_, err := Plan("p", c.View(), change)
		var fields []string
		var faults *IntentError
		if eris.As(err, &faults) {
			for _, f := range faults.Faults() {
				fields = append(fields, f.Field)
			}
		}
		assert.Equal(t, strings.Join(fields, " "), tt.fields, tt.intent)
	}
}
