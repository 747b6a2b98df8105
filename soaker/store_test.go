package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// Times of a store in trouble, and of what callers may rely on.
const (
	minStoreTrouble = 500 * time.Millisecond
	maxStoreTrouble = 5 * time.Second
	maxCopyAge      = 10 * time.Second
	// rewriteTime is the time after the store's return within which the operator writes again what the
	// store has lost.
	rewriteTime = 300 * time.Millisecond
	// maxChangeGap bounds the time between the store's trouble and a change of the configuration
	// before or after it.
	maxChangeGap = 600 * time.Millisecond
	// configTime is the time from a change, or the end of the store's trouble, until it is in force
	// everywhere, and configWatch the time for which it is watched then.
	configTime  = 3 * time.Second
	configWatch = time.Second
	checkGap    = 100 * time.Millisecond
)

// Times of the loss of a holder's row.
const (
	// adoptionTime bounds the time until an engine without a sidecar is ordered by another process.
	adoptionTime = 15 * time.Second
	// adoptedTime is how long that process orders the engine before the store loses its row.
	adoptedTime = time.Second
)

// loseHolder waits until a process orders the engine of lateSidecar, sets the store back to before that
// process became the holder, and starts the sidecar. No other fault follows for two leases.
func (s *soakRun) loseHolder() {
	late := s.lateSidecar()
	engine := s.site.Engines[len(s.site.Engines)-1]
	copied := time.Now()
	for end := s.clock() + adoptionTime; len(engine.Orders()) == 0; time.Sleep(checkGap) {
		if s.clock() > end {
			s.results.addViolation("the engine without a sidecar was not ordered within %v", adoptionTime)
			break
		}
	}
	time.Sleep(adoptedTime)
	s.logFault("store: a copy of %v before, %s is new to it", time.Since(copied), late.name)
	s.site.Rows.Restore(copied)
	err := s.site.Rewrite()
	if err == nil {
		err = late.start(s.binary)
		time.Sleep(2 * storeLeaseDuration)
	}
	if err != nil {
		s.results.addViolation("%v", err)
	}
}

// checkTurns checks that the orders of two processes to one engine are a lease apart, unless the first
// process had been stopped and continued since: what it was about to send is sent then.
func (s *soakRun) checkTurns() {
	for i, engine := range s.site.Engines {
		orders := engine.Orders()
		for j := 1; j < len(orders); j++ {
			before, order := orders[j-1], orders[j]
			gap := order.At.Sub(before.At)
			if order.Holder == before.Holder || gap >= storeLeaseDuration || s.continuedWithin(before.Holder, before.At) || s.continuedWithin(order.Holder, order.At) {
				continue
			}
			s.results.addViolation("engine %d was ordered by %s %v after %s", i, order.Holder, gap, before.Holder)
		}
	}
}

// continuedWithin reports whether the named process was continued in the lease before an instant.
func (s *soakRun) continuedWithin(name string, at time.Time) bool {
	for _, m := range s.members() {
		if m.name != name {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return slices.ContainsFunc(m.continuedAt, func(t time.Time) bool { return !t.After(at) && at.Sub(t) < storeLeaseDuration })
	}
	return false
}

// changedKey returns the key of the workspace that change i of the configuration adds. The next
// change withdraws it.
func changedKey(i int) string { return fmt.Sprint("key-of-change-", i) }

// disturbStore brings the store into trouble again and again for faultSeconds, with changes of the
// configuration and a fault of a process around each.
func (s *soakRun) disturbStore(faults *sync.WaitGroup) {
	for end := s.clock() + time.Duration(*faultSeconds)*time.Second; s.clock() < end; {
		s.changeConfiguration()
		s.sleepUpTo(maxChangeGap)
		if f := s.drawProcessFault(); f != nil {
			faults.Go(f)
		}
		duration := minStoreTrouble + s.drawTime(maxStoreTrouble-minStoreTrouble)
		if s.random.IntN(2) == 0 {
			s.silenceStore(duration)
		} else {
			s.restoreStore(duration)
		}
		s.changeConfiguration()
		s.sleepUpTo(maxChangeGap)
		s.changeConfiguration()
		s.checkConfiguration()
	}
}

// drawTime draws a time below a bound.
func (s *soakRun) drawTime(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound)))
}

// sleepUpTo sleeps for a random time below a bound.
func (s *soakRun) sleepUpTo(bound time.Duration) { time.Sleep(s.drawTime(bound)) }

// drawProcessFault draws a fault of a process, or none, and returns a function that injects it and
// ends it again, or nil.
func (s *soakRun) drawProcessFault() func() {
	members := s.members()
	m := members[s.random.IntN(len(members))]
	duration := s.drawTime(maxFaultDuration)
	switch s.random.IntN(6) {
	case 0:
		return s.processFaultFunc(m, duration, syscall.SIGSTOP)
	case 1:
		return s.processFaultFunc(m, restartDelay, syscall.SIGKILL)
	case 2:
		return s.processFaultFunc(m, 0, syscall.SIGTERM)
	}
	return nil
}

// setStoreFault sets the fault of all links to the store.
func (s *soakRun) setStoreFault(f linkFault) {
	for _, m := range s.members() {
		m.storeLink.setFault(f)
	}
}

// silenceStore makes the store silent for a time, with a change of the configuration in it.
func (s *soakRun) silenceStore(duration time.Duration) {
	s.logFault("store: silent for %v", duration)
	s.setStoreFault(swallowing)
	before := s.drawTime(duration)
	time.Sleep(before)
	s.changeConfiguration()
	time.Sleep(duration - before)
	s.setStoreFault(noFault)
	s.logFault("store: answers")
}

// restoreStore makes the store unreachable or silent for a time, after which it is what it was some
// time before. The operator writes again what the store has lost.
func (s *soakRun) restoreStore(duration time.Duration) {
	age := s.drawTime(maxCopyAge)
	s.logFault("store: away for %v, then a copy of %v before", duration, age)
	copied := time.Now().Add(-age)
	s.setStoreFault([]linkFault{refusing, swallowing}[s.random.IntN(2)])
	time.Sleep(duration)
	s.site.Rows.Restore(copied)
	s.setStoreFault(noFault)
	s.logFault("store: answers")
	s.sleepUpTo(rewriteTime)
	if err := s.site.Rewrite(); err != nil {
		s.results.addViolation("rewrite: %v", err)
	}
}

// changeConfiguration adds a key and withdraws that of the change before.
func (s *soakRun) changeConfiguration() {
	s.configChanges++
	version, err := s.site.Configure(imitator.SiteKey, changedKey(s.configChanges))
	if err != nil {
		s.results.addViolation("configure: %v", err)
	}
	s.logFault("configuration %d: %s", version, changedKey(s.configChanges))
}

// checkConfiguration waits for configTime and then checks, for configWatch, that entries without a
// fault since serve the newest key and not the one before.
func (s *soakRun) checkConfiguration() {
	faultsBefore := map[*member]int{}
	for _, m := range s.entries {
		if address, n, _ := m.status(); address != "" {
			faultsBefore[m] = n
		}
	}
	time.Sleep(configTime)
	for end := s.clock() + configWatch; s.clock() < end; time.Sleep(checkGap) {
		for m, n := range faultsBefore {
			s.checkKeys(m, n)
		}
	}
}

// checkKeys checks that an entry serves the newest key and not the one before, unless it has had
// more than a number of faults.
func (s *soakRun) checkKeys(m *member, faultsBefore int) {
	for _, c := range []struct {
		key    string
		status int
		wrong  string
	}{
		{changedKey(s.configChanges), http.StatusUnauthorized, "refuses the newest key"},
		{changedKey(s.configChanges - 1), http.StatusOK, "serves a key that was withdrawn"},
	} {
		status := s.statusOfKey(m, c.key)
		if _, n, _ := m.status(); status == c.status && n == faultsBefore {
			s.results.addViolation("%s %s, %s, after %v", m.name, c.wrong, c.key, configTime)
		}
	}
}

// statusOfKey returns the status with which an entry answers a request with a key, or 0 if it does
// not answer.
func (s *soakRun) statusOfKey(m *member, key string) int {
	address, _, _ := m.status()
	if address == "" {
		return 0
	}
	s.keyChecks++
	req, err := imitator.NewRequest(context.Background(), address, fmt.Sprintf("%016x", 1<<41+s.keyChecks), http.MethodGet, "/status/x", "X-Api-Key", key)
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
