package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of the case drill.
const (
	// copyAge is how old the copy is from which the store comes back, and killAfter the time from the
	// sending of the order to the kill.
	copyAge   = 5 * time.Second
	killAfter = time.Second
	// deadTime is how long the killed processes are down.
	deadTime = 2 * time.Second
	// drillWork is how long the service works on the order.
	drillWork = 2 * time.Second
	// repeatTime is how long the caller repeats its order.
	repeatTime = 50 * time.Second
)

const reserveIntent = `{
  "workspaces": [{"name": "gent", "rate": 1000, "burst": 1000}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/reserve", "pool": "reservations", "workspaces": ["gent"]}]
}`

// drillCase kills the entry and the sidecar of an order at the same moment, while the order runs, and
// sets the store back to before the order. The caller repeats the order with its key at the other entry.
func drillCase(f *fleet, trouble bool) ([]string, error) {
	n, err := newNativeFleet(f)
	if err != nil {
		return nil, err
	}
	var entries, sidecars [2]*process
	for i := range entries {
		if entries[i], err = n.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return nil, err
		}
	}
	var services [2]*orderService
	for i := range sidecars {
		services[i] = &orderService{f: f, name: fmt.Sprintf("reservations-%d", i+1), pool: "reservations"}
		backend, err := f.listen(services[i])
		if err != nil {
			return nil, err
		}
		peer, err := freeAddress()
		if err != nil {
			return nil, err
		}
		if sidecars[i], err = n.startServiceSidecar(services[i].name, services[i].pool, peer, backend); err != nil {
			return nil, err
		}
	}
	if err := n.intend(entries[0], reserveIntent); err != nil {
		return nil, err
	}
	for _, e := range entries {
		if err := n.placeFirst(e, http.MethodPost, "/reserve", "first"); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * copyAge)
	const body, key = "500 maps", "order-4711"
	for _, s := range services {
		s.setWork(drillWork)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = n.order(entries[0], "/reserve", body, key)
	}()
	time.Sleep(killAfter)
	killed := []*process{entries[0]}
	for i, s := range services {
		if s.count("POST /reserve "+body) > 0 {
			killed = append(killed, sidecars[i])
		}
	}
	if len(killed) != 2 {
		return nil, errNoOrder
	}
	if trouble {
		for _, p := range killed {
			f.signal(p, syscall.SIGKILL)
		}
		f.log("the store comes back from a copy that is %v old", copyAge)
		n.platform.Restore(time.Now().Add(-copyAge))
	}
	<-done
	if trouble {
		time.Sleep(deadTime)
		for _, p := range killed {
			if err := f.startAgain(p); err != nil {
				return nil, err
			}
		}
	}
	for end := time.Now().Add(repeatTime); time.Now().Before(end); time.Sleep(time.Second) {
		if status, _, err := n.order(entries[1], "/reserve", body, key); err == nil && status == http.StatusCreated {
			break
		}
	}
	runs := 0
	for _, s := range services {
		runs += s.count("POST /reserve " + body)
	}
	f.log("the order has run %d times", runs)
	if runs > 1 {
		return []string{fmt.Sprintf("TWICE: the order with the key %s ran %d times", key, runs)}, nil
	}
	return nil, nil
}
