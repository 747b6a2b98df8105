package allocator

import (
	"slices"
	"time"

	"oleanderstall/placer"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// startupGrace is the time after the first sidecar report in which no engine fetches a
// checkpoint while another engine of the pool has not reported, since that one may
// already have the checkpoint.
const startupGrace = 800 * time.Millisecond

// fetchesTooEarly reports whether a candidate would fetch a checkpoint from the weight
// store although engines of the pool that may have a nearer copy have not reported yet.
func (a *Allocator) fetchesTooEarly(now time.Duration, pool string, c placer.Candidate) bool {
	if c.Planned || !c.Fetch || now-a.firstReportAt >= startupGrace {
		return false
	}
	return slices.ContainsFunc(a.fleet.Pool(pool), func(b *tracker.Backend) bool { return b.Status(now) == nil })
}

// candidates lists the reporting engines of the pool that may load a model or an adapter
// of it, without those to avoid.
func (a *Allocator) candidates(now time.Duration, name string, m *wire.Model, avoid []string) []placer.Candidate {
	hash := router.Hash(name)
	var candidates []placer.Candidate
	for _, b := range a.fleet.Pool(m.GetPool()) {
		id := b.Server().ID
		if b.Status(now) == nil || b.SidecarLost() || slices.Contains(avoid, id) {
			continue
		}
		candidates = append(candidates, a.candidate(now, b, m, router.Score(id, hash)))
	}
	return candidates
}

// maxMisses is the highest number of expected misses that is taken from a report.
const maxMisses = 1e6

// plausible reports whether a model in the memory of an engine of that capacity has a name, and
// its numbers can be right.
func plausible(r *wire.Resident, capacity uint64) bool {
	return r.GetModel() != "" && r.GetBytes() <= capacity && r.GetKeep() >= 0 && r.GetKeep() <= maxMisses
}

// candidate describes an engine as a candidate for a load. Models that requests wait for are
// neither idle nor busy, so they are not unloaded, and neither are those whose description is
// not plausible. Free memory beyond the engine's capacity counts as none.
func (a *Allocator) candidate(now time.Duration, b *tracker.Backend, m *wire.Model, score uint64) placer.Candidate {
	status, inventory := b.Status(now), b.Inventory(now)
	capacity := a.config.View().Pool(m.GetPool()).GetEngines().GetBytes()
	c := placer.Candidate{ID: b.Server().ID, Score: score, Planned: inventory.Has(m.GetName())}
	if status.GetFree() <= capacity {
		c.Free = status.GetFree()
	}
	c.LoadTime, c.Fetch = inventory.LoadTime(m)
	if c.Fetch {
		c.LoadTime = a.fetchQueue.LoadTime(c.LoadTime)
		if a.loadScaled(m.GetPool()) && a.nearCrowdedModel(inventory) {
			c.LoadTime += nearbyDetour
		}
	}
	a.setQueueTime(now, &c, b, m.GetName())
	if a.loadScaled(m.GetPool()) {
		c.QueueTime += slowDelay(b.ExpectedSpeed(now))
	}
	for _, r := range status.GetResidents() {
		if !plausible(r, capacity) {
			continue
		}
		loaded := loadedModel(r)
		switch {
		case a.waiting(loaded.Model) > 0:
		case loaded.Inflight == 0:
			c.Idle = append(c.Idle, loaded)
		default:
			c.Busy = append(c.Busy, loaded)
		}
	}
	return c
}

// waiting returns the number of requests that wait for a model.
func (a *Allocator) waiting(model string) uint32 {
	if p := a.demands[model]; p != nil {
		return p.Count
	}
	return 0
}

// setQueueTime sets the duration of the loads ahead of that of a model, and whether the
// engine already plans that load or cannot start it.
func (a *Allocator) setQueueTime(now time.Duration, c *placer.Candidate, b *tracker.Backend, model string) {
	status := b.Status(now)
	delay := a.fetchDelay(now, status)
	for _, t := range status.GetTasks() {
		left := b.TimeToReady(now, t) + delay
		switch {
		case t.GetModel() != model:
			c.QueueTime = max(c.QueueTime, left)
			continue
		case t.GetBlocked():
			c.Blocked, c.QueueTime = true, max(0, left-c.LoadTime)
		default:
			c.Planned, c.QueueTime = true, left
		}
		return
	}
}

// fetchDelay returns how much longer the loads of an engine take than its sidecar reported,
// because other engines load from the weight store as well. It is 0 if the engine itself is
// not loading from the weight store.
func (a *Allocator) fetchDelay(now time.Duration, s *wire.EngineStatus) time.Duration {
	if !s.GetFetching() || len(s.GetTasks()) == 0 {
		return 0
	}
	return max(0, a.fetchQueue.TimeLeft(now, s.GetServer())-timer.FromMillis(s.GetTasks()[0].GetLeft()))
}

// loadedModel converts a resident model from a sidecar's report. The report has the
// expected misses as one number, which is stored as the rate, with a reload time of one
// second.
func loadedModel(r *wire.Resident) placer.LoadedModel {
	return placer.LoadedModel{Model: r.GetModel(), Bytes: r.GetBytes(), Rate: r.GetKeep(), ReloadTime: time.Second, Inflight: int(r.GetInflight())}
}
