package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const now = time.Hour

func loadedModel(model string, bytes uint64, rate float64) LoadedModel {
	return LoadedModel{Model: model, Bytes: bytes, Rate: rate, Copies: 1, ReloadTime: time.Second, LastUsed: now - time.Minute}
}

func loadRequest(model string, bytes uint64, value float64, timeLeft time.Duration) LoadRequest {
	return LoadRequest{Model: model, Bytes: bytes, Count: 1, Value: value, TargetTime: now + timeLeft, FirstArrival: now, LoadTime: time.Second}
}

// refusedRequest returns the request for a model whose callers were refused and may come back.
func refusedRequest(model string) LoadRequest {
	r := loadRequest(model, 60, 0.05, time.Hour)
	r.Count = 0
	return r
}

// anotherCopy returns the request for another copy that takes over a rate of requests.
func anotherCopy(model string, relief float64) LoadRequest {
	r := loadRequest(model, 60, 1, time.Hour)
	r.Count, r.Relief = 2, relief
	return r
}

// drainingCopy returns the request for another copy for which a model in use may be drained.
func drainingCopy(model string, relief float64) LoadRequest {
	r := anotherCopy(model, relief)
	r.Drain = true
	return r
}

// TestDrain guards against an engine that never has an idle model: a steady flow of requests for
// rarely used models kept another copy of a busy one out for ten seconds.
func TestDrain(t *testing.T) {
	inUse := func(model string, rate float64, inflight int) LoadedModel {
		m := loadedModel(model, 60, rate)
		m.Inflight = inflight
		return m
	}
	fresh := inUse("fresh", 0, 1)
	fresh.LoadedAt = now - minResidence/2
	for _, c := range []struct {
		name    string
		loaded  []LoadedModel
		request LoadRequest
		step    Step
	}{
		{"the model with the lowest rate is drained", []LoadedModel{inUse("a", 1, 1), inUse("b", 0.1, 4)}, drainingCopy("m", 8), Step{Drain, "b", "m"}},
		{"an idle model is unloaded instead", []LoadedModel{inUse("a", 0.1, 1), loadedModel("b", 60, 0.5)}, drainingCopy("m", 8), Step{Unload, "b", "m"}},
		{"a model that serves nearly as many stays", []LoadedModel{inUse("a", 3, 1)}, drainingCopy("m", 8), Step{}},
		{"a model just loaded stays", []LoadedModel{fresh}, drainingCopy("m", 8), Step{}},
		{"nothing is drained unless the request says so", []LoadedModel{inUse("a", 0.1, 1)}, anotherCopy("m", 8), Step{}},
		{"nothing is drained for requests that wait", []LoadedModel{inUse("a", 0.1, 1)}, loadRequest("m", 60, 1, time.Second), Step{}},
		{"a model too small to make room stays", []LoadedModel{inUse("a", 0.1, 1)}, func() LoadRequest {
			r := drainingCopy("m", 8)
			r.Bytes = 90
			return r
		}(), Step{}},
	} {
		assert.Equal(t, NextStep(now, 0, c.loaded, []LoadRequest{c.request}), c.step, c.name)
	}
}

// TestNextStep checks the next order to an engine.
func TestNextStep(t *testing.T) {
	busy := loadedModel("busy", 60, 0)
	busy.Inflight = 1
	fresh := loadedModel("fresh", 60, 0)
	fresh.LoadedAt = now - minResidence/2
	for _, c := range []struct {
		name     string
		free     uint64
		loaded   []LoadedModel
		requests []LoadRequest
		step     Step
	}{
		{"no request", 100, []LoadedModel{loadedModel("a", 60, 0)}, nil, Step{}},
		{"enough free memory", 100, nil, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{Load, "m", "m"}},
		{"already loaded", 0, []LoadedModel{loadedModel("m", 60, 0)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{}},
		{"the model with the fewest misses is unloaded", 0, []LoadedModel{loadedModel("a", 60, 0.5), loadedModel("b", 60, 0.1)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{Unload, "b", "m"}},
		{"a busy model stays", 0, []LoadedModel{busy, loadedModel("a", 60, 0.5)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{Unload, "a", "m"}},
		{"a model just loaded stays", 0, []LoadedModel{fresh}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{}},
		{"a requested model stays", 0, []LoadedModel{loadedModel("a", 60, 0)}, []LoadRequest{loadRequest("m", 60, 1, time.Second), loadRequest("a", 60, 1, time.Second)}, Step{}},
		{"a model whose requests were all refused is unloaded", 0, []LoadedModel{loadedModel("a", 60, 0)}, []LoadRequest{loadRequest("m", 60, 1, time.Second), refusedRequest("a")}, Step{Unload, "a", "m"}},
		{"a model that more requests would miss stays", 0, []LoadedModel{loadedModel("a", 60, 9)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{}},
		{"one unload is preferred to two", 10, []LoadedModel{loadedModel("a", 20, 0.1), loadedModel("b", 70, 0.2)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{Unload, "b", "m"}},
		{"two unloads if one does not suffice", 10, []LoadedModel{loadedModel("a", 30, 0.1), loadedModel("b", 30, 0.2)}, []LoadRequest{loadRequest("m", 60, 1, time.Second)}, Step{Unload, "a", "m"}},
		{"a request that is not late goes first", 100, nil, []LoadRequest{loadRequest("late", 60, 1, 0), loadRequest("m", 60, 1, 2*time.Second)}, Step{Load, "m", "m"}},
		{"the higher value goes first", 100, nil, []LoadRequest{loadRequest("a", 60, 1, 2*time.Second), loadRequest("m", 60, 3, 2*time.Second)}, Step{Load, "m", "m"}},
		{"a model that does not fit does not block the others", 60, []LoadedModel{busy}, []LoadRequest{loadRequest("big", 90, 9, 2*time.Second), loadRequest("m", 60, 1, 2*time.Second)}, Step{Load, "m", "m"}},
		{"another copy does not displace one that serves as many requests", 0, []LoadedModel{loadedModel("a", 60, 0.5)}, []LoadRequest{anotherCopy("m", 0.5)}, Step{}},
		{"another copy displaces one that serves fewer requests", 0, []LoadedModel{loadedModel("a", 60, 0.6), loadedModel("b", 60, 0.4)}, []LoadRequest{anotherCopy("m", 0.5)}, Step{Unload, "b", "m"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, NextStep(now, c.free, c.loaded, c.requests), c.step)
		})
	}
}

// TestLoadRequestNeverStarves checks that a request of low value is served eventually,
// although requests of higher value keep arriving.
func TestLoadRequestNeverStarves(t *testing.T) {
	small := loadRequest("small", 60, 1, time.Second)
	for i := range 60 {
		at := now + time.Duration(i)*time.Second
		big := loadRequest(fmt.Sprint(i), 60, 4, time.Hour)
		big.FirstArrival, big.TargetTime = at, at+time.Hour
		if NextStep(at, 60, nil, []LoadRequest{big, small}).Model == "small" {
			return
		}
	}
	t.Fatal("the request of low value was not served within a minute")
}

// TestNextStepKeepsMemoryLimit checks that a model that does not fit is never loaded, and
// that a model in use, or for which requests wait, is never unloaded.
func TestNextStepKeepsMemoryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.Uint64Range(0, 100).Draw(t, "free")
		var loaded []LoadedModel
		for i := range rapid.IntRange(0, 4).Draw(t, "loaded") {
			m := loadedModel(fmt.Sprint("h", i), rapid.Uint64Range(10, 70).Draw(t, "bytes"), rapid.Float64Range(0, 3).Draw(t, "rate"))
			m.Inflight = rapid.IntRange(0, 1).Draw(t, "inflight")
			loaded = append(loaded, m)
		}
		var requests []LoadRequest
		for i := range rapid.IntRange(0, 4).Draw(t, "requests") {
			r := loadRequest(fmt.Sprint("w", i), rapid.Uint64Range(10, 70).Draw(t, "bytes"), 1, time.Second)
			r.Count = rapid.IntRange(0, 2).Draw(t, "count")
			if len(loaded) > 0 && rapid.Bool().Draw(t, "already loaded") {
				r.Model = loaded[rapid.IntRange(0, len(loaded)-1).Draw(t, "which")].Model
			}
			requests = append(requests, r)
		}
		step := NextStep(now, free, loaded, requests)
		for _, r := range requests {
			if step.Op == Load && r.Model == step.Model && r.Bytes <= free {
				return
			}
		}
		assert.Assert(t, step.Op != Load)
		for _, m := range loaded {
			if step.Op == Unload && m.Model == step.Model {
				assert.Equal(t, m.Inflight, 0)
				for _, r := range requests {
					assert.Assert(t, r.Model != m.Model || r.Count == 0)
				}
			}
		}
	})
}

// TestChooseEngine checks the choice of the engine on which a model serves first,
// considering the models that it displaces.
func TestChooseEngine(t *testing.T) {
	candidate := func(id string, free uint64, load time.Duration, idle ...LoadedModel) Candidate {
		return Candidate{ID: id, Free: free, LoadTime: load, Idle: idle}
	}
	planned := Candidate{ID: "planned", Planned: true, QueueTime: 200 * time.Millisecond}
	queued := candidate("queued", 100, 100*time.Millisecond)
	queued.QueueTime = time.Second
	busy := func(id string, inflight int) Candidate {
		c := candidate(id, 0, 800*time.Millisecond)
		c.Busy = []LoadedModel{{Model: "b", Bytes: 60, Inflight: inflight}}
		return c
	}
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{"the nearest tier", []Candidate{candidate("remote", 100, 6*time.Second), candidate("disk", 100, 800*time.Millisecond)}, "disk"},
		{"a load in progress", []Candidate{candidate("disk", 100, 800*time.Millisecond), planned}, "planned"},
		{"the shorter queue", []Candidate{queued, candidate("free", 100, 800*time.Millisecond)}, "free"},
		{"free memory rather than an unload", []Candidate{candidate("full", 0, 800*time.Millisecond, loadedModel("a", 60, 0)), candidate("free", 100, 800*time.Millisecond)}, "free"},
		{"an unload rather than a fetch", []Candidate{candidate("full", 0, 800*time.Millisecond, loadedModel("a", 60, 0.1)), candidate("remote", 100, 6*time.Second)}, "full"},
		{"the fewest misses", []Candidate{candidate("a", 0, time.Second, loadedModel("a", 60, 0.9)), candidate("b", 0, time.Second, loadedModel("b", 60, 0.1))}, "b"},
		{"the engine whose requests end first", []Candidate{busy("many", 12), busy("few", 1)}, "few"},
		{"a fetch in place of an idle model rather than a drain", []Candidate{busy("used", 9), candidate("idle", 0, 6*time.Second, loadedModel("b", 60, 0.1))}, "idle"},
		{"an engine with an idle model", []Candidate{candidate("busy", 0, 400*time.Millisecond), candidate("idle", 0, 800*time.Millisecond, loadedModel("b", 60, 0.1))}, "idle"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i, _ := ChooseEngine(c.candidates, 60)
			assert.Equal(t, c.candidates[i].ID, c.want)
		})
	}
	i, _ := ChooseEngine(nil, 60)
	assert.Equal(t, i, -1)
}
