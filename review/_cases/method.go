package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Intents of the case method: the route before and after the change.
const (
	deleteIntent = `{
  "workspaces": [{"name": "gent", "rate": 1000, "burst": 1000}],
  "routes": [{"name": "booking", "method": "DELETE", "path": "/booking", "pool": "reservations", "open": true}]
}`
	postIntent = `{"routes": [{"name": "booking", "method": "POST", "path": "/booking", "pool": "reservations", "open": true}]}`
)

// askTime is how long callers ask after the change.
const askTime = 5 * time.Second

// methodCase changes the method of an open route, and sends requests with the new one.
func methodCase(f *fleet, trouble bool) ([]string, error) {
	n, err := newNativeFleet(f)
	if err != nil {
		return nil, err
	}
	entry, err := n.startEntry("entry-1")
	if err != nil {
		return nil, err
	}
	s := &orderService{f: f, name: "reservations-1", pool: "reservations"}
	backend, err := f.listen(s)
	if err != nil {
		return nil, err
	}
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if _, err := n.startServiceSidecar(s.name, s.pool, peer, backend); err != nil {
		return nil, err
	}
	if err := n.intend(entry, deleteIntent); err != nil {
		return nil, err
	}
	method := http.MethodDelete
	if err := n.placeFirst(entry, method, "/booking", "cancel first"); err != nil {
		return nil, err
	}
	text := "cancel"
	if trouble {
		if err := n.apply(entry, postIntent); err != nil {
			return nil, err
		}
		method, text = http.MethodPost, "book"
	}
	for i, begin := 0, time.Now(); time.Since(begin) < askTime; i++ {
		_, _, _ = n.send(entry, method, "/booking", fmt.Sprintf("%s %d", text, i), "")
		time.Sleep(200 * time.Millisecond)
	}
	var violations []string
	for _, run := range s.ran() {
		if !strings.HasPrefix(run, "DELETE /booking cancel") && !strings.HasPrefix(run, "POST /booking book") {
			violations = append(violations, fmt.Sprintf("UNASKED: the service ran %q, which was sent with another method", run))
		}
	}
	return violations, nil
}
