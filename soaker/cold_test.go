package soaker

import (
	"time"

	"oleanderstall/imitator"
)

// Parameters of the cold phases of backend servers.
const (
	coldTime = 2 * time.Second
	coldRate = 2
	// coldNotice is the time within which entries have to know that a running server is cold. A
	// process may be cut off from the store for most of it.
	coldNotice = 3500 * time.Millisecond
)

// turnCold makes an engine and then a service cold, again and again, until the faults end.
func (s *soakRun) turnCold() {
	servers := []*imitator.Backend{s.site.Engines[0], s.site.Services[0]}
	for end := s.clock() + time.Duration(*faultSeconds)*time.Second; s.clock() < end; {
		for _, b := range servers {
			b.TurnCold(coldNotice)
			s.logFault("%s is cold", b.ID())
		}
		time.Sleep(coldNotice + 2*coldTime)
	}
}

// checkCold checks that no cold server got more requests than it tolerates.
func (s *soakRun) checkCold() {
	for _, b := range s.backends() {
		if most, floods := b.ColdArrivals(); floods > 0 {
			s.results.addViolation("%s got %d requests within a second of its cold phase", b.ID(), most)
		}
	}
}
