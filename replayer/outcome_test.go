package replayer

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// expectedOutcome holds the bounds that the results on a trace have to meet. They
// were set before the trace was replayed for the first time.
type expectedOutcome struct {
	Keep struct {
		Fixed   bool    `json:"cost_at_most_each_fixed_hold"`
		Optimum float64 `json:"cost_over_optimum_at_most"`
		Longest float64 `json:"longest_idle_seconds_at_most"`
	} `json:"keep"`
	Loads struct {
		Wasted int  `json:"wasted_at_most"`
		P99    bool `json:"p99_at_most_that_of_each_entry_for_itself"`
	} `json:"loads"`
	Share struct {
		FIFO float64 `json:"worst_p99_wait_over_fifo_at_most"`
	} `json:"share"`
	Limits struct {
		Over   float64 `json:"over_limit_tokens_at_most"`
		Static bool    `json:"refused_inside_at_most_static_split"`
		Owner  bool    `json:"refused_inside_at_most_one_owner"`
	} `json:"limits"`
	Routing struct {
		Random float64 `json:"worst_queue_over_random_at_most"`
	} `json:"routing"`
}

// forEachFleet runs a check with the committed trace and bounds of each deployment.
func forEachFleet(t *testing.T, check func(f Fleet, events []Event, want expectedOutcome)) {
	t.Helper()
	for _, f := range []Fleet{Plooiwerk, Granite} {
		events, err := ReadTrace("../testdata/traces/" + f.Name + ".jsonl")
		assert.NilError(t, err)
		data, err := os.ReadFile("../testdata/traces/" + f.Name + ".outcome.json")
		assert.NilError(t, err)
		var want expectedOutcome
		assert.NilError(t, json.Unmarshal(data, &want))
		check(f, events, want)
	}
}

func TestOutcomeKeep(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		got := ReplayKeepAlive(f, events)
		for _, policy := range got[1:4] {
			assert.Check(t, !want.Keep.Fixed || got[0].Cost <= policy.Cost, "%s: %.0f, %s %.0f", f.Name, got[0].Cost, policy.Policy, policy.Cost)
		}
		assert.Check(t, got[0].Cost <= want.Keep.Optimum*got[4].Cost, f.Name)
		assert.Check(t, got[0].LongestIdle <= want.Keep.Longest, f.Name)
	})
}

func TestOutcomeLoads(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		got := ReplayLoads(f, events)
		assert.Check(t, got[0].Wasted <= want.Loads.Wasted, f.Name)
		assert.Check(t, !want.Loads.P99 || got[0].ColdStartP99 <= got[2].ColdStartP99, f.Name)
	})
}

func TestOutcomeShare(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		got := ReplaySharing(f, events)
		assert.Check(t, got[0].WorstP99 <= want.Share.FIFO*got[1].WorstP99, f.Name)
	})
}

func TestOutcomeLimitsOver(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		for _, l := range ReplayLimits(f, events) {
			assert.Check(t, l.ExcessTokens <= want.Limits.Over, "%s: %s %g", f.Name, l.Policy, l.ExcessTokens)
		}
	})
}

func TestOutcomeLimitsStatic(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		got := ReplayLimits(f, events)
		assert.Check(t, !want.Limits.Static || got[0].RefusedWithinLimit <= got[2].RefusedWithinLimit, f.Name)
	})
}

func TestOutcomeLimitsOwner(t *testing.T) {
	forEachFleet(t, func(f Fleet, events []Event, want expectedOutcome) {
		got := ReplayLimits(f, events)
		assert.Check(t, !want.Limits.Owner || got[0].RefusedWithinLimit <= got[1].RefusedWithinLimit, "%s: %d, %d", f.Name, got[0].RefusedWithinLimit, got[1].RefusedWithinLimit)
	})
}

func TestOutcomeRouting(t *testing.T) {
	forEachFleet(t, func(f Fleet, _ []Event, want expectedOutcome) {
		got := ReplayRouting(1)
		limit := want.Routing.Random * float64(got[1].LongestQueue)
		assert.Check(t, float64(got[0].LongestQueue) <= limit, "%s: %d, %d", f.Name, got[0].LongestQueue, got[1].LongestQueue)
	})
}
