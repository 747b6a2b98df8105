package placer

import "time"

// Limits of what is learned of the weight store.
const (
	// firstMost is the number of loads at full speed that is assumed at first.
	firstMost = 4.0
	// leastMost is the least number assumed.
	leastMost = 1.0
	// fullSpeed is the part of its usual time that a load at full speed takes at most.
	fullSpeed = 1.15
	// mostWeight is the weight of a load that was slowed down.
	mostWeight = 0.3
	// mostStep is what a load at full speed adds that had at least mostPart of the
	// assumed number beside it.
	mostStep = 1.0
	mostPart = 0.75
	// unheardLife is how long a load counts of which nothing is heard.
	unheardLife = 2500 * time.Millisecond
	// leastLeft is the least time that is assumed to be left of a load.
	leastLeft = 100 * time.Millisecond
)

// FetchQueue is what is known of the loads from the weight store of all engines. Beyond
// some number of them each takes longer in proportion; the line learns that number.
type FetchQueue struct {
	most    float64
	fetches map[string]*fetch
	at      time.Duration
	// opened is the instant since which there is room for another load.
	opened time.Duration
}

// fetch is a load from the weight store.
type fetch struct {
	model string
	usual time.Duration
	begun time.Duration
	heard time.Duration
	// crowd is the sum over time of the loads that ran, in seconds.
	crowd float64
}

// NewFetchQueue returns a line without loads.
func NewFetchQueue() *FetchQueue { return &FetchQueue{most: firstMost, fetches: map[string]*fetch{}} }

// Fetches takes note that an engine loads a model from the weight store, which
// usually takes that long.
func (l *FetchQueue) Fetches(now time.Duration, engine, model string, usual time.Duration) {
	l.advance(now)
	f := l.fetches[engine]
	if f == nil || f.model != model {
		f = &fetch{model: model, usual: usual, begun: now}
		l.fetches[engine] = f
	}
	f.heard = now
}

// Ends takes note that an engine loads nothing from the weight store any more.
func (l *FetchQueue) Ends(now time.Duration, engine string) {
	l.advance(now)
	f := l.fetches[engine]
	if f == nil {
		return
	}
	l.learn(f, now-f.begun)
	l.drop(now, engine)
}

// Drop forgets an engine.
func (l *FetchQueue) Drop(now time.Duration, engine string) {
	l.advance(now)
	if l.fetches[engine] != nil {
		l.drop(now, engine)
	}
}

func (l *FetchQueue) drop(now time.Duration, engine string) {
	full := l.room() <= 0
	delete(l.fetches, engine)
	if full && l.room() > 0 {
		l.opened = now
	}
}

// learn learns from a load that has ended.
func (l *FetchQueue) learn(f *fetch, took time.Duration) {
	if took <= 0 || f.usual <= 0 {
		return
	}
	crowd, slower := f.crowd/took.Seconds(), float64(took)/float64(f.usual)
	switch {
	case slower > fullSpeed && crowd > 1:
		l.most = max(leastMost, l.most+mostWeight*(min(l.most, crowd/slower)-l.most))
	case slower > 1/fullSpeed && slower <= fullSpeed && crowd >= mostPart*l.most:
		l.most += mostStep
	}
}

// advance brings the sums up to now and drops the loads of which nothing is heard.
func (l *FetchQueue) advance(now time.Duration) {
	passed := max(0, now-l.at).Seconds()
	for _, f := range l.fetches {
		f.crowd += passed * float64(len(l.fetches))
	}
	l.at = now
	for engine, f := range l.fetches {
		if now-f.heard > unheardLife {
			l.drop(now, engine)
		}
	}
}

// room is the number of further loads at full speed.
func (l *FetchQueue) room() int { return int(l.most+0.5) - len(l.fetches) }

// Room returns the number of further loads at full speed, and the instant since
// which there is room.
func (l *FetchQueue) Room(now time.Duration) (int, time.Duration) {
	l.advance(now)
	return l.room(), l.opened
}

// Runs reports whether an engine loads from the weight store.
func (l *FetchQueue) Runs(engine string) bool { return l.fetches[engine] != nil }

// time is the duration of a load beside that many others.
func (l *FetchQueue) time(usual time.Duration, others int) time.Duration {
	return time.Duration(float64(usual) * max(1, float64(others+1)/l.most))
}

// Time is the duration of another load that begins now.
func (l *FetchQueue) Time(usual time.Duration) time.Duration { return l.time(usual, len(l.fetches)) }

// Left is the time until an engine's load ends, or 0 if there is none.
func (l *FetchQueue) Left(now time.Duration, engine string) time.Duration {
	f := l.fetches[engine]
	if f == nil {
		return 0
	}
	return max(leastLeft, l.time(f.usual, len(l.fetches)-1)-(now-f.begun))
}

// Wait is the time until a load ends that has that many others before it which have
// not begun yet.
func (l *FetchQueue) Wait(now time.Duration, usual time.Duration, before int) time.Duration {
	first := time.Duration(0)
	if l.room() <= 0 {
		first = usual
		for engine := range l.fetches {
			first = min(first, l.Left(now, engine))
		}
	}
	turns := 1 + int(float64(before)/l.most)
	return first + time.Duration(turns)*usual
}
