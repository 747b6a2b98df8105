package imitator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Names and limits in the configuration of a stand-in site.
const (
	SiteHost           = "site.example"
	SiteModels         = "models"
	SiteOrders         = "orders"
	SiteTenant         = "tourism"
	SiteKey            = "key-of-tourism"
	SiteCentre         = "centre-1"
	siteMaxHeaderBytes = 16384
	siteMaxBodyBytes   = 4 << 20
)

// SiteOptions configure a stand-in site.
type SiteOptions struct {
	// Engines and Services are the numbers of backend servers.
	Engines  int
	Services int
	// Models is the number of models, of which each engine has memory for
	// ModelsPerEngine.
	Models          int
	ModelsPerEngine int
	// LoadTime is the time that a load takes, EventInterval the time between two events
	// of a stream, EventsPerStream their number, and ServiceTime the time that a
	// plain service takes for a call.
	LoadTime        time.Duration
	EventInterval   time.Duration
	EventsPerStream int
	ServiceTime     time.Duration
	// Rate, in tokens per second, and Burst, in tokens, are the limits of the
	// workspace.
	Rate  float64
	Burst float64
	// RestartTime is the time from a crash of a backend server to its next start.
	RestartTime time.Duration
	// ColdTime is the time for which a backend server is cold after its start, and ColdRate the
	// requests a second that it takes meanwhile. Both are 0 if servers are never cold.
	ColdTime time.Duration
	ColdRate float64
	// Regions are the regions in which the requests of a route may run, by the name of the route.
	Regions map[string][]string
	// Centres are the data centres among which the backend servers are spread, or SiteCentre alone.
	Centres []string
	// EngineSoftware are the versions of the software of the first engines. The others name none.
	EngineSoftware []string
	// Proxy, if set, starts a proxy in front of a backend server's address and
	// returns the address under which the server is listed instead.
	Proxy func(address string) (string, error)
	// EngineMachines and ServiceMachines are the machines of the first backend servers. The others
	// have the zero value.
	EngineMachines  []MachineOptions
	ServiceMachines []MachineOptions
}

// elementAt returns an element of a list, or the zero value beyond its end.
func elementAt[T any](list []T, i int) T {
	if i < len(list) {
		return list[i]
	}
	var zero T
	return zero
}

// Site is a stand-in of a hosting platform with its backend servers, on loopback.
type Site struct {
	options  SiteOptions
	version  uint64
	Rows     *RowStore
	Engines  []*Backend
	Services []*Backend
	// StoreAddress is the address of the store, EngineAddresses those of the engines, or of
	// the proxies in front of them.
	StoreAddress    string
	EngineAddresses []string
	stops           []func()
	// config is the latest configuration that was written.
	config map[string]any
}

// siteModelMB is the size of the weights of each model, in megabytes.
const siteModelMB = 1000

// NewSite starts a site with SiteKey as the only key of the workspace. The caller ends
// it by Stop.
func NewSite(options SiteOptions) (*Site, error) {
	s := &Site{options: options, Rows: NewRowStore()}
	var err error
	if s.StoreAddress, err = s.listen(s.Rows); err != nil {
		return nil, err
	}
	var models []BackendModel
	for i := range options.Models {
		models = append(models, BackendModel{Name: SiteModel(i), WeightsMB: siteModelMB, LoadTime: options.LoadTime})
	}
	for i := range options.Engines {
		backend := NewBackend(BackendOptions{
			ID: fmt.Sprintf("engine-%d", i), Pool: SiteModels, Centre: s.centre(i), Slots: 32, Models: models,
			MemoryMB: float64(options.ModelsPerEngine) * siteModelMB, AdapterSlots: 2, EventsPerStream: options.EventsPerStream, EventInterval: options.EventInterval,
			Machine: elementAt(options.EngineMachines, i), Software: elementAt(options.EngineSoftware, i),
		}, s.Rows)
		address, err := s.startBackend(backend)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.Engines, s.EngineAddresses = append(s.Engines, backend), append(s.EngineAddresses, address)
	}
	for range options.Services {
		if err := s.AddService(); err != nil {
			s.Stop()
			return nil, err
		}
	}
	_, err = s.Configure(SiteKey)
	return s, err
}

// AddService starts a plain service and adds it to Services. It must not be called while the
// list is read.
func (s *Site) AddService() error {
	backend := NewBackend(BackendOptions{
		ID: fmt.Sprintf("service-%d", len(s.Services)), Pool: SiteOrders, Centre: s.centre(len(s.Services)), Slots: 6, ServiceTime: s.options.ServiceTime,
		Machine: elementAt(s.options.ServiceMachines, len(s.Services)),
	}, s.Rows)
	if _, err := s.startBackend(backend); err != nil {
		return err
	}
	s.Services = append(s.Services, backend)
	return nil
}

// centre returns the data centre of the backend server of a kind with a number.
func (s *Site) centre(i int) string {
	if len(s.options.Centres) == 0 {
		return SiteCentre
	}
	return s.options.Centres[i%len(s.options.Centres)]
}

// Evacuate writes the operator's row that evacuates a data centre.
func (s *Site) Evacuate(centre string) error {
	_, err := s.Rows.Put("op", "evacuate/"+centre, map[string]any{})
	return err
}

// EndEvacuation removes the row that evacuates a data centre.
func (s *Site) EndEvacuation(centre string) { s.Rows.Remove("op", "evacuate/"+centre) }

// SiteModel returns the name of model i.
func SiteModel(i int) string { return fmt.Sprintf("model%d", i) }

// startBackend makes a backend server listen and write its row. It returns the address
// in the row.
func (s *Site) startBackend(backend *Backend) (string, error) {
	backend.setCold(s.options.ColdTime, s.options.ColdRate)
	address, err := s.listenRestartable(backend)
	if err == nil && s.options.Proxy != nil {
		address, err = s.options.Proxy(address)
	}
	if err == nil {
		backend.Start(address)
		s.stops = append(s.stops, backend.Stop)
	}
	return address, err
}

// listen serves h on a free port of loopback and returns the address.
func (s *Site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	s.stops = append(s.stops, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// listenRestartable serves a backend server like listen. A crash of the server ends it, and it
// starts again after RestartTime.
func (s *Site) listenRestartable(backend *Backend) (string, error) {
	server, err := NewRestartable(s.options.RestartTime, func() http.Handler {
		backend.started()
		return backend
	})
	if err != nil {
		return "", err
	}
	backend.crash = server.Crash
	s.stops = append(s.stops, server.Stop)
	return server.Address(), nil
}

// Stop ends all servers of the site, in the reverse order of their start.
func (s *Site) Stop() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	s.stops = nil
}

// Configure writes the next version of the configuration, with the given keys of the
// workspace, and returns that version.
func (s *Site) Configure(keys ...string) (uint64, error) {
	s.version += 3
	models := []map[string]any{}
	for i := range s.options.Models {
		models = append(models, map[string]any{
			"name": SiteModel(i), "weights_mb": siteModelMB, "adapters": 2, "adapter_mb": 1,
			"load_time_s": s.options.LoadTime.Seconds(), "disk_s": s.options.LoadTime.Seconds(), "warm_s": s.options.LoadTime.Seconds(),
		})
	}
	config := map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			s.route("draft", "/draft/", "streaming", SiteModels, false),
			s.route("brief", "/brief/", "streaming", SiteModels, true),
			s.route("order", "/order/", "non_idempotent", SiteOrders, false),
			s.route("status", "/status/", "idempotent", SiteOrders, false),
		},
		"services": []map[string]any{
			{"name": SiteModels, "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
				"slots": 32, "kv_capacity": 100000, "models": models, "adapter_slots": 2, "loads_per_s": 10,
				"weights_mb": s.options.ModelsPerEngine*siteModelMB + 10,
			}},
			{"name": SiteOrders, "health_path": "/healthz", "max_conns": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": siteMaxHeaderBytes, "max_body_bytes": siteMaxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{
			"name": SiteTenant, "api_keys": keys, "unit": "token_rate", "plain_tokens": 200,
			"rate_per_s": s.options.Rate, "burst": s.options.Burst,
		}},
	}
	if s.options.ColdRate > 0 {
		for _, service := range config["services"].([]map[string]any) {
			service["cold_start_s"], service["cold_per_s"] = s.options.ColdTime.Seconds(), s.options.ColdRate
		}
	}
	s.config = config
	_, err := s.Rows.Put("op", "config", config)
	return s.version, err
}

// Rewrite writes again what the operator wrote, as after the store has been set back.
func (s *Site) Rewrite() error {
	_, err := s.Rows.Put("op", "config", s.config)
	return err
}

// route returns a route of the configuration to the backend servers of a pool.
func (s *Site) route(name, prefix, kind, pool string, resumable bool) map[string]any {
	route := map[string]any{
		"name": name, "host": SiteHost, "prefix": prefix, "type": kind, "service": pool, "resumable": resumable,
		"timeout_ms": 5000, "latency_goal_ms": 400, "gap_aim_ms": 250, "max_attempts": 2, "priority": 1,
	}
	if regions := s.options.Regions[name]; len(regions) > 0 {
		route["allowed_regions"] = regions
	}
	return route
}

// siteDeadline is the deadline that callers send with a request, in milliseconds.
const siteDeadline = "4000"

// NewRequest returns a caller's request to the entry at an address of the form IP:port.
// The header consists of alternating names and values, which replace the defaults.
func NewRequest(ctx context.Context, address, id, method, path string, header ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Host = SiteHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", SiteKey)
	req.Header.Set("X-Deadline-Ms", siteDeadline)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req, nil
}

// NewModelRequest returns a caller's request for a stream from a model.
func NewModelRequest(ctx context.Context, address, id, path, model string, header ...string) (*http.Request, error) {
	header = append([]string{"X-Model", model, "X-Token-Count", "100,50"}, header...)
	return NewRequest(ctx, address, id, http.MethodPost, path, header...)
}
