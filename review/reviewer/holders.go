package main

import (
	"fmt"
	"time"
)

// Times of the case holders, from the start of the added machine.
const (
	// turnedAwayFor is how long the store turns the added sidecar away, awayFor how long the store is
	// away after that, and copyAge the age of the copy that it comes back from.
	turnedAwayFor = 9 * time.Second
	awayFor       = time.Second
	copyAge       = 9 * time.Second
	// leaseTime is lease_ms.
	leaseTime = 3 * time.Second
)

// holders adds an engine with its sidecar, which the store turns away at first, so that a relay orders
// the engine. Then the store comes back from a copy that does not have the relay's row.
func holders(log *record, trouble bool) bool {
	spec := engineSpec{
		ID: "i-1a", Service: "models", Zone: "gent-a", Slots: 64, WeightsMB: 80000, AdapterSlots: 8, LoadTime: time.Second,
		Models: []modelSpec{{"m0", 65100, 32, 12}, {"m2", 72700, 12, 66}},
		Holds:  []string{"m2"}, EventGap: 20 * time.Millisecond, Events: 10,
	}
	s := newStore()
	address, address2 := s.listen(), s.listen()
	first := startEngine(spec, s, log)
	s.put("op", "config", manifest(7, spec))
	entry, side1 := newEntry("edge-1", "gent-a", address), newSidecar("side-1", "gent-a", address, first)
	entry.start()
	side1.start()
	awaitReady(entry)
	c := newClient(log)
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			c.stream(entry, "m2")
			c.stream(entry, fmt.Sprintf("m0/a%d", i%20+1))
		}
	}()
	time.Sleep(12 * time.Second)

	log.add("a machine is added: engine i-2b and sidecar side-2")
	spec.ID, spec.Holds = "i-2b", nil
	second := startEngine(spec, s, log)
	side2 := newSidecar("side-2", "gent-a", address2, second)
	s.turnAway(address2, trouble)
	if trouble {
		log.add("the store turns side-2 away with 503")
	}
	side2.start()
	time.Sleep(turnedAwayFor)
	if trouble {
		log.add("the store is away; it turns side-2 away no more")
		s.setDown(true)
		s.turnAway(address2, false)
		time.Sleep(awayFor)
		s.restore(copyAge)
		s.setDown(false)
		s.put("op", "config", manifest(7, spec))
		first.beat()
		second.beat()
		log.add("the store is back from a copy that is %v old", copyAge)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	c.pending.Wait()
	return judgeTurns(log, first, second)
}

// judgeTurns reports whether the orders to an engine changed their holder within leaseTime, or came with
// a lower fence number after a higher one.
func judgeTurns(log *record, engines ...*engine) bool {
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		holders := map[string]int{}
		for i, o := range e.orders {
			holders[o.holder]++
			if i == 0 {
				continue
			}
			before := e.orders[i-1]
			if gap := o.at.Sub(before.at); o.holder != before.holder && gap < leaseTime {
				broken++
				log.say("ONE: engine %s is ordered by %s and %.3f s later by %s (fences %d and %d); lease_ms is 3000", e.spec.ID, before.holder, gap.Seconds(), o.holder, before.fence, o.fence)
			}
			if o.fence < before.fence {
				broken++
				log.say("ONE: engine %s gets fence %d after %d", e.spec.ID, o.fence, before.fence)
			}
		}
		log.say("orders to %s by holder: %v", e.spec.ID, holders)
		e.mu.Unlock()
	}
	return broken > 0
}
