package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const now = time.Hour

func held(model string, bytes uint64, rate float64) LoadedModel {
	return LoadedModel{Model: model, Bytes: bytes, Rate: rate, Copies: 1, Reload: time.Second, Last: now - time.Minute}
}

func want(model string, bytes uint64, worth float64, goal time.Duration) LoadRequest {
	return LoadRequest{Model: model, Bytes: bytes, Count: 1, Worth: worth, Goal: now + goal, Since: now, Time: time.Second}
}

// TestNext decides the next order to an engine.
func TestNext(t *testing.T) {
	busy := held("busy", 60, 0)
	busy.Inflight = 1
	fresh := held("fresh", 60, 0)
	fresh.Since = now - settle/2
	for _, c := range []struct {
		name  string
		free  uint64
		held  []LoadedModel
		wants []LoadRequest
		step  Step
	}{
		{"nothing wanted", 100, []LoadedModel{held("a", 60, 0)}, nil, Step{}},
		{"there is room", 100, nil, []LoadRequest{want("m", 60, 1, time.Second)}, Step{Load, "m", "m"}},
		{"there already", 0, []LoadedModel{held("m", 60, 0)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{}},
		{"the least missed makes room", 0, []LoadedModel{held("a", 60, 0.5), held("b", 60, 0.1)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{Unload, "b", "m"}},
		{"a busy model stays", 0, []LoadedModel{busy, held("a", 60, 0.5)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{Unload, "a", "m"}},
		{"a model just loaded stays", 0, []LoadedModel{fresh}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{}},
		{"a wanted model stays", 0, []LoadedModel{held("a", 60, 0)}, []LoadRequest{want("m", 60, 1, time.Second), want("a", 60, 1, time.Second)}, Step{}},
		{"a model that more requests would miss stays", 0, []LoadedModel{held("a", 60, 9)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{}},
		{"one that frees enough goes before two", 10, []LoadedModel{held("a", 20, 0.1), held("b", 70, 0.2)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{Unload, "b", "m"}},
		{"two go if one is not enough", 10, []LoadedModel{held("a", 30, 0.1), held("b", 30, 0.2)}, []LoadRequest{want("m", 60, 1, time.Second)}, Step{Unload, "a", "m"}},
		{"the one still in time goes first", 100, nil, []LoadRequest{want("late", 60, 1, 0), want("m", 60, 1, 2*time.Second)}, Step{Load, "m", "m"}},
		{"worth goes first", 100, nil, []LoadRequest{want("a", 60, 1, 2*time.Second), want("m", 60, 3, 2*time.Second)}, Step{Load, "m", "m"}},
		{"one without room does not stop the others", 60, []LoadedModel{busy}, []LoadRequest{want("big", 90, 9, 2*time.Second), want("m", 60, 1, 2*time.Second)}, Step{Load, "m", "m"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, NextStep(now, c.free, c.held, c.wants), c.step)
		})
	}
}

// TestNobodyStarves serves a want of little worth in the end, though wants of
// more worth keep coming.
func TestNobodyStarves(t *testing.T) {
	small := want("small", 60, 1, time.Second)
	for i := range 60 {
		at := now + time.Duration(i)*time.Second
		big := want(fmt.Sprint(i), 60, 4, time.Hour)
		big.Since, big.Goal = at, at+time.Hour
		if NextStep(at, 60, nil, []LoadRequest{big, small}).Model == "small" {
			return
		}
	}
	t.Fatal("the small want was not served in a minute")
}

// TestNextKeepsMemory never loads what does not fit and never unloads what runs
// or is wanted.
func TestNextKeepsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.Uint64Range(0, 100).Draw(t, "free")
		var all []LoadedModel
		for i := range rapid.IntRange(0, 4).Draw(t, "held") {
			h := held(fmt.Sprint("h", i), rapid.Uint64Range(10, 70).Draw(t, "bytes"), rapid.Float64Range(0, 3).Draw(t, "rate"))
			h.Inflight = rapid.IntRange(0, 1).Draw(t, "inflight")
			all = append(all, h)
		}
		var wants []LoadRequest
		for i := range rapid.IntRange(0, 4).Draw(t, "wants") {
			w := want(fmt.Sprint("w", i), rapid.Uint64Range(10, 70).Draw(t, "bytes"), 1, time.Second)
			if len(all) > 0 && rapid.Bool().Draw(t, "there") {
				w.Model = all[rapid.IntRange(0, len(all)-1).Draw(t, "which")].Model
			}
			wants = append(wants, w)
		}
		step := NextStep(now, free, all, wants)
		for _, w := range wants {
			if step.Op == Load && w.Model == step.Model && w.Bytes <= free {
				return
			}
		}
		assert.Assert(t, step.Op != Load)
		for _, h := range all {
			if step.Op == Unload && h.Model == step.Model {
				assert.Equal(t, h.Inflight, 0)
				for _, w := range wants {
					assert.Assert(t, w.Model != h.Model)
				}
			}
		}
	})
}

// TestPick chooses the engine at which a model serves first, with what that
// displaces.
func TestPick(t *testing.T) {
	site := func(id string, free uint64, load time.Duration, idle ...LoadedModel) Candidate {
		return Candidate{ID: id, Free: free, Load: load, Idle: idle}
	}
	planned := Candidate{ID: "planned", Planned: true, Queue: 200 * time.Millisecond}
	queued := site("queued", 100, 100*time.Millisecond)
	queued.Queue = time.Second
	busy := func(id string, inflight int) Candidate {
		s := site(id, 0, 800*time.Millisecond)
		s.Busy = []LoadedModel{{Model: "b", Bytes: 60, Inflight: inflight}}
		return s
	}
	for _, c := range []struct {
		name  string
		sites []Candidate
		want  string
	}{
		{"the nearest copy", []Candidate{site("remote", 100, 6*time.Second), site("disk", 100, 800*time.Millisecond)}, "disk"},
		{"a load under way", []Candidate{site("disk", 100, 800*time.Millisecond), planned}, "planned"},
		{"the shorter queue", []Candidate{queued, site("free", 100, 800*time.Millisecond)}, "free"},
		{"room rather than an unload", []Candidate{site("full", 0, 800*time.Millisecond, held("a", 60, 0)), site("free", 100, 800*time.Millisecond)}, "free"},
		{"an unload rather than a fetch", []Candidate{site("full", 0, 800*time.Millisecond, held("a", 60, 0.1)), site("remote", 100, 6*time.Second)}, "full"},
		{"the least missed", []Candidate{site("a", 0, time.Second, held("a", 60, 0.9)), site("b", 0, time.Second, held("b", 60, 0.1))}, "b"},
		{"the engine whose requests end first", []Candidate{busy("many", 12), busy("few", 1)}, "few"},
		{"an idle model far away rather than one in use", []Candidate{busy("used", 9), site("idle", 0, 6*time.Second, held("b", 60, 0.1))}, "idle"},
		{"an engine with something idle", []Candidate{site("busy", 0, 400*time.Millisecond), site("idle", 0, 800*time.Millisecond, held("b", 60, 0.1))}, "idle"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i, _ := ChooseEngine(c.sites, 60)
			assert.Equal(t, c.sites[i].ID, c.want)
		})
	}
	i, _ := ChooseEngine(nil, 60)
	assert.Equal(t, i, -1)
}
