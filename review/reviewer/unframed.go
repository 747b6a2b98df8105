package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// freezeTime is how long an entry stands still.
const freezeTime = 4 * time.Second

// unframed freezes an entry; meanwhile one of four engines of each service crashes and starts again.
// Their answers have neither a length nor chunks.
func unframed(log *record, trouble bool) bool {
	spec := engineSpec{
		ID: "i-1a", Service: "models", Zone: "gent-a", Slots: 64, WeightsMB: 80000, AdapterSlots: 8, LoadTime: time.Second,
		Models: []modelSpec{{"m0", 65100, 0, 12}}, Holds: []string{"m0"}, EventGap: 50 * time.Millisecond, Events: 40, Unframed: true,
	}
	s := newStore()
	address := s.listen()
	var engines, services []*engine
	for i := range 4 {
		spec.ID = fmt.Sprintf("i-%da", i)
		engines = append(engines, startEngine(spec, s, log))
		services = append(services, startEngine(engineSpec{
			ID: fmt.Sprintf("i-%ds", i), Service: "orders", Zone: "gent-a", Slots: 16, Work: 400 * time.Millisecond, Unframed: true,
		}, s, log))
	}
	s.put("op", "config", manifest(7, spec))
	entries := []*process{newEntry("edge-1", "gent-a", address), newEntry("edge-2", "gent-a", address)}
	for _, p := range entries {
		p.start()
	}
	for i, e := range engines {
		newSidecar(fmt.Sprintf("side-%d", i), "gent-a", address, e).start()
	}
	awaitReady(entries...)
	time.Sleep(4 * time.Second)
	c := newClient(log)
	for round := range 5 {
		for i := range 24 {
			c.streamOn(entries[i%2], "brief", "m0")
			c.send(entries[i%2], http.MethodPost, "/order/1", []byte("maps"), 5*time.Second)
			time.Sleep(40 * time.Millisecond)
		}
		if frozen := entries[0]; trouble {
			log.add("%s stands still for %v", frozen.name, freezeTime)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
			engines[round%4].kill("as the case says")
			services[round%4].kill("as the case says")
			time.Sleep(freezeTime - 100*time.Millisecond)
			frozen.signal(syscall.SIGCONT)
			log.add("%s goes on", frozen.name)
		}
		time.Sleep(9 * time.Second)
	}
	c.pending.Wait()
	return judgeComplete(log, c, append(engines, services...)...)
}

// judgeComplete reports whether a requester got an answer that looks complete although the engine did
// not write it to its end.
func judgeComplete(log *record, c *client, engines ...*engine) bool {
	wrong := 0
	counts := map[string]int{}
	for _, o := range c.outcomes {
		done := 0
		for _, e := range engines {
			e.mu.Lock()
			done += e.completed[o.id]
			e.mu.Unlock()
		}
		switch {
		case o.status == http.StatusOK && o.complete && done == 0:
			wrong++
			log.say("MIXED, ORDER: request %s gets status 200, seal %q, %d pieces and a proper end, but no engine wrote its answer to the end", o.id, o.seal, o.events)
		case o.status == http.StatusOK && o.complete:
			counts["complete"]++
		case o.status == http.StatusOK:
			counts["broken off"]++
		default:
			counts["refused or failed"]++
		}
	}
	log.say("%d requests: %v, wrongly complete %d", len(c.outcomes), counts, wrong)
	return wrong > 0
}
