package soaker

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// injectFaults injects faults for faultSeconds. With faults of answers, a service is added
// beside an odd row, which stays, after half of that.
func (s *soakRun) injectFaults(faults *sync.WaitGroup) {
	faultTime := time.Duration(*faultSeconds) * time.Second
	begin := s.clock()
	for added := !s.mode.streamEnds; s.clock() < begin+faultTime; {
		if !added && s.clock() > begin+faultTime/2 {
			added = true
			s.putOddRow(s.drawOddRow())
			s.addService()
		}
		if f := s.drawFault(); f != nil {
			faults.Go(f)
		}
		for _, f := range s.drawStreamFaults() {
			faults.Go(f)
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(maxFaultGap))))
	}
}

// addService adds a plain service to the site.
func (s *soakRun) addService() {
	if err := s.site.AddService(); err != nil {
		s.results.addViolation("add a service: %v", err)
	}
}

// streamFaultsPerStep is the number of faults that drawStreamFaults draws.
const streamFaultsPerStep = 3

// drawStreamFaults draws faults as drawAnswerFault does, in a run with such faults, and for each step
// a crash beside an entry that stands still: few of them meet an answer.
func (s *soakRun) drawStreamFaults() []func() {
	if !s.mode.streamEnds {
		return nil
	}
	var faults []func()
	for range streamFaultsPerStep {
		if f := s.drawAnswerFault(); f != nil {
			faults = append(faults, f)
		}
	}
	if f := s.unframedCrashFunc(); f != nil {
		faults = append(faults, f)
	}
	return faults
}

// drawFault draws a fault and returns a function that injects it and ends it again, or
// nil if the drawn process already has a fault.
func (s *soakRun) drawFault() func() {
	duration := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(maxFaultDuration)))
	members := s.members()
	m := members[s.random.IntN(len(members))]
	switch s.random.IntN(8) {
	case 0, 1:
		k := s.serverLinks[s.random.IntN(len(s.serverLinks))]
		return s.linkFaultFunc(k, duration, nil)
	case 2, 3:
		return s.linkFaultFunc(m.storeLink, duration, m)
	case 4:
		k := s.serverLinks[s.random.IntN(len(s.serverLinks))]
		return func() {
			s.logFault("link to %s: reset", k.target)
			k.resetConnections()
		}
	case 5:
		return s.processFaultFunc(m, duration, syscall.SIGSTOP)
	case 6:
		return s.processFaultFunc(m, restartDelay, syscall.SIGKILL)
	}
	return s.processFaultFunc(m, 0, syscall.SIGTERM)
}

// linkFaultFunc returns a function that injects a random fault into a link for a
// duration. On the link of a process to the store (m is set), half of the faults
// that drop bytes in both directions drop answers only instead.
func (s *soakRun) linkFaultFunc(k *link, duration time.Duration, m *member) func() {
	f := linkFault(1 + s.random.IntN(int(faultKinds)-1))
	if m != nil && f == blackhole && s.random.IntN(2) == 0 {
		f = losingAnswers
	}
	return func() {
		s.logFault("link to %s: fault %d for %v", k.target, f, duration)
		k.setFault(f)
		time.Sleep(duration)
		k.setFault(noFault)
		s.logFault("link to %s: no fault", k.target)
	}
}

// logFault writes a line about a fault to the folder with the logs, with the time in UTC as in
// the logs of the processes.
func (s *soakRun) logFault(format string, args ...any) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	_, _ = fmt.Fprintf(s.faultLog, "%s "+format+"\n", append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
}

// processFaultFunc returns a function that stops a process by a signal and starts it
// again, or continues it after SIGSTOP. It returns nil if the process already has a
// fault.
func (s *soakRun) processFaultFunc(m *member, duration time.Duration, sig syscall.Signal) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serving {
		return nil
	}
	m.serving, m.draining = false, sig == syscall.SIGTERM
	m.faultCount++
	return func() {
		if m.ended() {
			s.results.addViolation("%s ended by itself", m.name)
		}
		s.logFault("%s: %v", m.name, sig)
		m.signal(sig)
		time.Sleep(duration)
		if sig == syscall.SIGSTOP {
			m.signal(syscall.SIGCONT)
			m.recordFault(true, false)
			return
		}
		select {
		case <-m.done:
		case <-time.After(gracePeriod + time.Second):
			s.results.addViolation("%s did not end within its grace period", m.name)
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		m.recordFault(false, false)
		if err := m.start(s.binary); err != nil {
			s.results.addViolation("%v", err)
		}
	}
}
