package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of the case reuse.
const (
	// quietTime is how long nobody calls the service before the disruption.
	quietTime = 17 * time.Second
	// reuseAfter is the time after which an address may be given to another machine, and lapseTime the
	// time after which the platform drops a silent process from its list: three intervals of 1,200 ms.
	reuseAfter = 2 * time.Second
	lapseTime  = 3600 * time.Millisecond
)

// reservationServers is the number of servers of the service, of which one is lost, and orderGap the time
// between two orders.
const (
	reservationServers = 7
	orderGap           = 20 * time.Millisecond
)

const reuseIntent = `{
  "workspaces": [{"name": "gent", "rate": 1000, "burst": 1000}],
  "routes": [
    {"name": "reserve", "method": "POST", "path": "/reserve", "pool": "reservations", "workspaces": ["gent"]},
    {"name": "charge", "method": "POST", "path": "/charge", "pool": "billing", "workspaces": ["gent"]}
  ]
}`

// reuseCase ends the machine of one of the servers of a service, and gives its address to a new machine
// of another service, while the platform's list still names the first one. With no disruption
// the new machine comes at another address.
func reuseCase(f *fleet, trouble bool) ([]string, error) {
	n, err := newNativeFleet(f)
	if err != nil {
		return nil, err
	}
	entry, err := n.startEntry("entry-1")
	if err != nil {
		return nil, err
	}
	var addresses [reservationServers + 1]string
	var sidecars [reservationServers]*process
	for i := range addresses {
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	var services []*orderService
	for i := range sidecars {
		services = append(services, &orderService{f: f, name: fmt.Sprintf("reservations-%d", i+1), pool: "reservations"})
	}
	billing := &orderService{f: f, name: "billing-1", pool: "billing"}
	services = append(services, billing)
	backends := make([]string, len(services))
	for i, s := range services {
		if backends[i], err = f.listen(s); err != nil {
			return nil, err
		}
	}
	for i := range sidecars {
		if sidecars[i], err = n.startServiceSidecar(services[i].name, "reservations", addresses[i], backends[i]); err != nil {
			return nil, err
		}
	}
	if err := n.intend(entry, reuseIntent); err != nil {
		return nil, err
	}
	if err := n.placeFirst(entry, http.MethodPost, "/reserve", "first"); err != nil {
		return nil, err
	}
	time.Sleep(quietTime)
	ended := time.Now()
	address := addresses[reservationServers]
	if trouble {
		f.signal(sidecars[0], syscall.SIGKILL)
		address = addresses[0]
	}
	time.Sleep(time.Until(ended.Add(reuseAfter)))
	if _, err := n.startServiceSidecar("billing-1", "billing", address, backends[reservationServers]); err != nil {
		return nil, err
	}
	for i := 0; time.Since(ended) < lapseTime; i++ {
		_, _, _ = n.order(entry, "/reserve", fmt.Sprintf("print run %d", i), "")
		time.Sleep(orderGap)
	}
	if trouble {
		if err := n.drop("reservations-1"); err != nil {
			return nil, err
		}
	}
	var violations []string
	for _, run := range billing.ran() {
		if strings.HasPrefix(run, "POST /reserve") {
			violations = append(violations, fmt.Sprintf("ROUTE: billing-1, a server of billing, ran %q, which only reservations may run", run))
		}
	}
	return violations, nil
}
