package soaker

import (
	"time"

	"oleanderstall/imitator"
)

// What a backend server may get that has named a limit: in any limitWindow, limitExcess times what
// the limit allows and limitSlack requests, from limitNotice after it first named it.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
	// limitChanges is the number of limits that a server names one after the other during the
	// faults.
	limitChanges = 2
)

// limitPeriod is the time for which a server named one limit.
type limitPeriod struct {
	server     *imitator.Backend
	rate       float64
	begin, end time.Time
}

// nameLimits makes an engine and a service name limits, as the callers saw them, until the faults
// end. No server names one after that.
func (s *soakRun) nameLimits() {
	servers := []*imitator.Backend{s.site.Engines[0], s.site.Services[0]}
	stretch := time.Duration(*faultSeconds) * time.Second / limitChanges
	for range limitChanges {
		var periods []limitPeriod
		for _, b := range servers {
			rate := []float64{1, 2.5, 6}[s.limitRandom.IntN(3)]
			b.NameLimit(rate)
			s.logFault("%s names a limit of %v", b.ID(), rate)
			periods = append(periods, limitPeriod{server: b, rate: rate})
		}
		time.Sleep(stretch)
		for _, p := range periods {
			p.begin, p.end = p.server.LimitNamed().Add(limitNotice), time.Now()
			s.limitPeriods = append(s.limitPeriods, p)
		}
	}
	for _, b := range servers {
		b.NameLimit(0)
		s.logFault("%s names no limit", b.ID())
	}
}

// checkLimits checks that no server got more requests than the limits that it named.
func (s *soakRun) checkLimits() {
	for _, p := range s.limitPeriods {
		allowed := limitExcess*p.rate*limitWindow.Seconds() + limitSlack
		if n := p.most(); float64(n) > allowed {
			s.results.addViolation("%s got %d requests in %v, its limit of %v a second allows %v", p.server.ID(), n, limitWindow, p.rate, allowed)
		}
	}
}

// most returns the largest number of requests that arrived within limitWindow.
func (p limitPeriod) most() int {
	var times []time.Time
	most := 0
	for _, a := range p.server.Arrivals() {
		if a.At.Before(p.begin) || a.At.After(p.end) {
			continue
		}
		times = append(times, a.At)
		for times[len(times)-1].Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		most = max(most, len(times))
	}
	return most
}
