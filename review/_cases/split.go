package main

import (
	"fmt"
	"net/http"
	"time"
)

// Intents of the case split: one route for all orders, and one for each kind of them.
const (
	allOrdersIntent = `{
  "workspaces": [{"name": "gent", "rate": 1000, "burst": 1000}],
  "routes": [{"name": "orders", "method": "POST", "path": "/orders/{kind}", "pool": "reservations", "workspaces": ["gent"]}]
}`
	splitIntent = `{
  "routes": [
    {"name": "print-orders", "method": "POST", "path": "/orders/print", "pool": "reservations", "workspaces": ["gent"]},
    {"name": "fold-orders", "method": "POST", "path": "/orders/fold", "pool": "reservations", "workspaces": ["gent"]}
  ],
  "drops": ["route/orders"]
}`
)

// orderTime is how long the service works on an order. It is longer than the caller waits at first.
const orderTime = 6 * time.Second

// splitCase splits a route between two attempts at an order that bear the same idempotency key.
func splitCase(f *fleet, trouble bool) ([]string, error) {
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
	if err := n.intend(entry, allOrdersIntent); err != nil {
		return nil, err
	}
	if err := n.placeFirst(entry, http.MethodPost, "/orders/print", "first"); err != nil {
		return nil, err
	}
	s.setWork(orderTime)
	const body, key = "500 maps", "order-4711"
	_, _, _ = n.order(entry, "/orders/print", body, key)
	s.setWork(0)
	if trouble {
		if err := n.apply(entry, splitIntent); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if status, _, err := n.order(entry, "/orders/print", body, key); err == nil && status == http.StatusCreated {
			break
		}
	}
	runs := s.count("POST /orders/print " + body)
	f.log("the order has run %d times", runs)
	if runs > 1 {
		return []string{fmt.Sprintf("TWICE: the order with the key %s ran %d times", key, runs)}, nil
	}
	return nil, nil
}
