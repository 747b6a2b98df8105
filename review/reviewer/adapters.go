package main

import "time"

// adapters lets the demand move to another model and its adapters. The two models leave less room in
// an engine's memory than two adapters take.
func adapters(log *record, trouble bool) bool {
	spec := engineSpec{
		Service: "models", Zone: "gent-a", Slots: 64, WeightsMB: 137900, AdapterSlots: 8, LoadTime: time.Second,
		Models: []modelSpec{{"m0", 65100, 32, 12}, {"m2", 72700, 12, 66}},
		Holds:  []string{"m0"}, EventGap: 50 * time.Millisecond, Events: 30,
	}
	s := newStore()
	address := s.listen()
	var engines []*engine
	for _, id := range []string{"i-1a", "i-2b"} {
		spec.ID = id
		engines = append(engines, startEngine(spec, s, log))
	}
	s.put("op", "config", manifest(7, spec))
	entry := newEntry("edge-1", "gent-a", address)
	entry.start()
	for i, e := range engines {
		newSidecar([]string{"side-1", "side-2"}[i], "gent-a", address, e).start()
	}
	awaitReady(entry)
	time.Sleep(5 * time.Second)
	c := newClient(log)
	begin := time.Now()
	for i := 0; time.Since(begin) < 24*time.Second; i++ {
		c.stream(entry, "m0")
		if i%4 == 0 {
			c.stream(entry, "m0/a1")
		}
		if trouble && time.Since(begin) > 6*time.Second {
			if i%2 == 0 {
				c.stream(entry, "m2")
			}
			c.stream(entry, []string{"m2/a1", "m2/a2", "m2/a3"}[i%3])
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.pending.Wait()
	crashes, broken, good := 0, 0, 0
	for _, e := range engines {
		crashes += e.crashes
	}
	for _, o := range c.outcomes {
		switch {
		case o.status == 200 && o.complete && o.events == spec.Events:
			good++
		case o.status == 200:
			broken++
		}
	}
	log.say("%d requests, %d streams complete, %d streams broken off, %d others", len(c.outcomes), good, broken, len(c.outcomes)-good-broken)
	log.say("LIMIT: orders beyond weights_mb or adapter_slots, each of which crashed the engine: %d", crashes)
	return crashes > 0
}
