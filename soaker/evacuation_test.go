package soaker

import (
	"time"

	"oleanderstall/imitator"
)

// soakCentres are the data centres of a run with evacuations.
var soakCentres = []string{"x", "y"}

// evacuationNotice is the time after its acknowledgement within which an evacuation has to be in force.
const evacuationNotice = 5 * time.Second

// evacuation is the time for which a data centre was evacuated, from evacuationNotice after its
// acknowledgement on.
type evacuation struct {
	centre     int
	begin, end time.Time
}

// evacuate evacuates one data centre after the other until the faults end.
func (s *soakRun) evacuate() {
	end := s.clock() + time.Duration(*faultSeconds)*time.Second
	for i := 0; s.clock() < end; i = 1 - i {
		if err := s.site.Evacuate(soakCentres[i]); err != nil {
			s.results.addViolation("the store took no evacuation: %v", err)
			return
		}
		s.logFault("%s is evacuated", soakCentres[i])
		begin := time.Now().Add(evacuationNotice)
		time.Sleep(evacuationNotice + 2*time.Second)
		s.evacuations = append(s.evacuations, evacuation{centre: i, begin: begin, end: time.Now()})
		s.site.EndEvacuation(soakCentres[i])
		s.logFault("%s is evacuated no longer", soakCentres[i])
	}
}

// checkEvacuations checks that no request reached a data centre while it was evacuated.
func (s *soakRun) checkEvacuations() {
	for _, e := range s.evacuations {
		for _, list := range [][]*imitator.Backend{s.site.Engines, s.site.Services} {
			for i, b := range list {
				if i%len(soakCentres) == e.centre {
					s.checkNoArrivals(b, e)
				}
			}
		}
	}
}

// checkNoArrivals checks that no request reached a backend server while its data centre was evacuated.
func (s *soakRun) checkNoArrivals(b *imitator.Backend, e evacuation) {
	for _, a := range b.Arrivals() {
		if a.At.After(e.begin) && a.At.Before(e.end) {
			s.results.addViolation("%s got request %s %v after the evacuation of %s", b.ID(), a.ID, a.At.Sub(e.begin)+evacuationNotice, soakCentres[e.centre])
			return
		}
	}
}
