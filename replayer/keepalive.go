package replayer

import (
	"time"

	"oleanderstall/evictor"
)

// maxKeepAlive bounds every keep-alive time that is derived from a model's history.
const maxKeepAlive = 900 * time.Second

// KeepAliveResult is the cost of one keep-alive policy over a trace.
type KeepAliveResult struct {
	Policy string `json:"policy"`
	// IdleHours is the time that loaded models were idle, in hours over all models.
	IdleHours  float64 `json:"idle_hours"`
	ColdStarts int     `json:"cold_starts"`
	// Cost is the seconds of cold start plus the idle seconds multiplied by the
	// operator's weight of an idle second.
	Cost float64 `json:"cost"`
	// LongestIdle is the longest time that any model was loaded and idle, in seconds.
	LongestIdle float64 `json:"longest_idle_seconds"`
}

// modelSizeGB returns the size of model i in GB, from 4 to 15.
func modelSizeGB(i int) int { return 4 + i*7%12 }

// coldStartTime returns how long model i takes to load from the weight store, at
// 1 GB/s.
func coldStartTime(i int) time.Duration { return time.Duration(modelSizeGB(i)) * time.Second }

// keepAlivePolicy returns how long a model stays loaded after a request. The gap is
// the time until the next request, or until the end of the trace. Only
// optimalKeepAlive uses it, since no policy can know it in operation.
type keepAlivePolicy func(history *evictor.History, options evictor.Options, gap time.Duration) time.Duration

func fixedKeepAlive(duration time.Duration) keepAlivePolicy {
	return func(*evictor.History, evictor.Options, time.Duration) time.Duration { return duration }
}

// historyKeepAlive is the policy in use: it derives the time from the model's gaps
// between requests.
func historyKeepAlive(history *evictor.History, options evictor.Options, _ time.Duration) time.Duration {
	return history.KeepAlive(options)
}

// optimalKeepAlive keeps the model loaded through the gap if that costs less than a
// cold start, and unloads it at once otherwise.
func optimalKeepAlive(_ *evictor.History, options evictor.Options, gap time.Duration) time.Duration {
	if options.IdleCost*gap.Seconds() < options.ColdStart.Seconds() {
		return gap
	}
	return 0
}

// ReplayKeepAlive compares the keep-alive policies on a trace. Tests rely on the order of
// the results: the policy in use, three fixed times, the offline optimum, and the
// policy in use without a prior from other models.
func ReplayKeepAlive(f Fleet, events []Event) []KeepAliveResult {
	return []KeepAliveResult{
		replayKeepAlive(f, events, "by history, with a first guess", historyKeepAlive, true),
		replayKeepAlive(f, events, "fixed 1 min", fixedKeepAlive(time.Minute), false),
		replayKeepAlive(f, events, "fixed 10 min", fixedKeepAlive(10*time.Minute), false),
		replayKeepAlive(f, events, "fixed 60 min", fixedKeepAlive(time.Hour), false),
		replayKeepAlive(f, events, "offline optimum", optimalKeepAlive, false),
		replayKeepAlive(f, events, "by history alone", historyKeepAlive, false),
	}
}

// modelReplay is the state of one model during a replay.
type modelReplay struct {
	history evictor.History
	// arrivals are the times of the model's requests, next the index of the first
	// one that is not replayed yet.
	arrivals []time.Duration
	next     int
	loaded   bool
}

// replayKeepAlive replays all requests in the order of their times. Model i runs on
// engine i modulo the number of engines. With sharePrior, the models of one engine
// share the gaps between requests as a prior.
func replayKeepAlive(f Fleet, events []Event, name string, policy keepAlivePolicy, sharePrior bool) KeepAliveResult {
	result := KeepAliveResult{Policy: name}
	models := make([]modelReplay, f.Models)
	priors := make([]evictor.History, f.Engines)
	for i := range models {
		models[i].arrivals = arrivalTimes(events, ModelName(i))
	}
	for _, e := range events {
		if e.Kind != "" {
			continue
		}
		i := modelIndex(e.Model)
		m := &models[i]
		if sharePrior {
			m.exchangeGaps(&priors[i%f.Engines], e.At())
		}
		m.history.RecordRequest(e.At())
		result.replayRequest(f, i, m, policy)
	}
	return result
}

// exchangeGaps starts the history of a model without requests from the gaps of the
// engine's models, and adds the model's latest gap to them.
func (m *modelReplay) exchangeGaps(prior *evictor.History, now time.Duration) {
	if m.next == 0 {
		m.history.AddPrior(prior)
	}
	if gap, ok := m.history.SinceLastRequest(now); ok {
		prior.AddGap(gap)
	}
}

func arrivalTimes(events []Event, model string) []time.Duration {
	var times []time.Duration
	for _, e := range events {
		if e.Kind == "" && e.Model == model {
			times = append(times, e.At())
		}
	}
	return times
}

// replayRequest adds the cost of the next request of model i to k: a cold start if
// the model is not loaded, and the idle time until the next request or the unload.
// The offline optimum pays no idle time after the last request of a model, since it
// knows that none follows.
func (k *KeepAliveResult) replayRequest(f Fleet, i int, m *modelReplay, policy keepAlivePolicy) {
	const end = (daySeconds + nightSeconds) * time.Second
	options := evictor.Options{ColdStart: coldStartTime(i), IdleCost: f.IdleWeight, MaxIdle: maxKeepAlive}
	if !m.loaded {
		k.ColdStarts++
		k.Cost += options.ColdStart.Seconds()
	}
	now := m.arrivals[m.next]
	m.next++
	gap, lastRequest := end-now, m.next == len(m.arrivals)
	if !lastRequest {
		gap = m.arrivals[m.next] - now
	}
	keepAlive := policy(&m.history, options, gap)
	if lastRequest && keepAlive == gap {
		keepAlive = 0
	}
	idle := min(gap, keepAlive).Seconds()
	k.IdleHours += idle / 3600
	k.Cost += f.IdleWeight * idle
	k.LongestIdle = max(k.LongestIdle, idle)
	m.loaded = keepAlive >= gap
}
