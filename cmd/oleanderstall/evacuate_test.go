package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/operator"
)

const singleIntent = `{
  "workspaces": [{"name": "tourism", "rate": 100000, "burst": 1000000}],
  "models": [{"name": "drafter", "bytes": "1048576", "replicas": 1, "workspaces": ["tourism"]}]
}`

// confirmEvacuation sends an intent, confirms its plan and returns the plan.
func (c *cluster) confirmEvacuation(intent string) planOutput {
	c.t.Helper()
	var plan planOutput
	c.runOperatorCommand(intent, &plan, "intent", "-")
	var confirmed planOutput
	c.runOperatorCommand("", &confirmed, "confirm", plan.ID)
	assert.Assert(c.t, confirmed.Confirmed != "")
	return plan
}

// TestEvacuateIntent guards against an evacuation by an intent that has an effect before its plan is
// confirmed, requests that reach the data centre after the confirmation, a stream there that is cut, a
// model that stays there, and a data centre that gets nothing after the end.
func TestEvacuateIntent(t *testing.T) {
	c := &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}, centres: map[string]string{"engine-b": "centre-2"}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	engines := map[string]string{"engine-a": "centre-1", "engine-b": "centre-2"}
	for name := range engines {
		c.backends[name] = launch(t, "standin", "engine", "--token", "20ms")
		c.startSidecar(name, "engine", "models")
	}
	c.configure(singleIntent)
	key := c.grantKey("tourism").Key
	short := func(entry int) int {
		r := c.send(c.entries[entry], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":3}`)
		if r.status != http.StatusOK {
			t.Log(r.status, r.body)
		}
		return r.status
	}
	c.eventually("the model serves", func() bool { return short(0) == http.StatusOK })
	inside, outside := "engine-a", "engine-b"
	if c.engineCounts("engine-b").Loads > 0 {
		inside, outside = outside, inside
	}
	centre := engines[inside]
	answer := c.sendLongRequest(c.entries[1], key)
	before := c.engineCounts(inside).Runs
	c.eventually("the stream runs", func() bool { return c.engineCounts(inside).Runs > before })

	var plan planOutput
	c.runOperatorCommand(fmt.Sprintf(`{"evacuate":[{"name":%q}]}`, centre), &plan, "intent", "-")
	kinds := []string{}
	for _, s := range plan.Steps {
		kinds = append(kinds, s.Kind)
	}
	assert.DeepEqual(t, kinds, []string{"evacuate", "move"})
	assert.Equal(t, short(0), http.StatusOK)
	assert.Equal(t, c.engineCounts(outside).Loads, 0, "a plan that is not confirmed has an effect")
	c.runOperatorCommand("", nil, "confirm", plan.ID)
	before = c.engineCounts(inside).Runs
	for i := range 10 {
		assert.Equal(t, short(i%2), http.StatusOK)
	}
	assert.Equal(t, c.engineCounts(inside).Runs, before, "requests reach the evacuated data centre")
	assert.Assert(t, c.engineCounts(outside).Loads > 0)
	assert.Equal(t, answerText(t, <-answer), expectedAnswer())

	var status operator.Status
	c.runOperatorCommand("", &status, "status")
	assert.Equal(t, len(status.Evacuated), 1)
	assert.Equal(t, status.Evacuated[0].Name, centre)
	assert.DeepEqual(t, status.Evacuated[0].Sidecars, []string{inside})
	c.eventually("no model is left there", func() bool {
		status = operator.Status{}
		c.runOperatorCommand("", &status, "status")
		return len(status.Evacuated) == 1 && len(status.Evacuated[0].Models) == 0
	})
	assert.Assert(t, strings.Contains(c.runOperatorCommand("", nil, "explain", "centre/"+centre), "evacuated"))

	other := engines[outside]
	c.confirmEvacuation(fmt.Sprintf(`{"evacuate":[{"name":%q}],"drops":["evacuate/%s"]}`, other, centre))
	before = c.engineCounts(outside).Runs
	c.eventually("the first data centre serves again", func() bool { return slices.Contains([]int{short(0), short(1)}, http.StatusOK) })
	assert.Equal(t, c.engineCounts(outside).Runs, before)
	plan = c.confirmEvacuation(fmt.Sprintf(`{"evacuate":[{"name":%q}]}`, centre))
	assert.Assert(t, slices.ContainsFunc(plan.Steps, func(s struct {
		Kind string `json:"kind"`
	},
	) bool {
		return s.Kind == "unfit"
	}))
	r := c.send(c.entries[0], key, "/v1/completions", `{"model":"drafter","prompt":"x","max_tokens":3}`)
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "")
}
