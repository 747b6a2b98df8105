package imitator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Names on the stand-in site.
const (
	SiteHost    = "site.example"
	SiteModels  = "models"
	SiteOrders  = "orders"
	SiteTenant  = "tourism"
	SiteKey     = "key-of-tourism"
	SiteCentre  = "centre-1"
	siteHeaders = 16384
	siteBody    = 4 << 20
)

// SiteTerms are the sizes of a stand-in site.
type SiteTerms struct {
	// Engines and Services are the numbers of backend servers.
	Engines  int
	Services int
	// Models is the number of models; each engine holds Room of them.
	Models int
	Room   int
	// Load is the duration of a load, Step the time between two events of a stream
	// of Events events, Work that of a call of the plain service.
	Load   time.Duration
	Step   time.Duration
	Events int
	Work   time.Duration
	// Rate and Burst are those of the workspace, in tokens.
	Rate  float64
	Burst float64
	// Front, if set, returns the address that is told of the backend server that
	// listens at an address.
	Front func(address string) (string, error)
}

// Site is a platform that hosts the system, with backend servers, on loopback.
type Site struct {
	terms    SiteTerms
	version  uint64
	Rows     *Rows
	Engines  []*Host
	Services []*Host
	// Store is the address of the store, and Apps those of the engines.
	Store string
	Apps  []string
	stops []func()
}

// siteModelMB is the size of each model, in MB.
const siteModelMB = 1000

// NewSite starts a site.
func NewSite(t SiteTerms) (*Site, error) {
	s := &Site{terms: t, Rows: NewRows()}
	var err error
	if s.Store, err = s.listen(s.Rows); err != nil {
		return nil, err
	}
	var models []HostModel
	for i := range t.Models {
		models = append(models, HostModel{Name: SiteModel(i), MB: siteModelMB, Load: t.Load})
	}
	for i := range t.Engines {
		h := NewHost(HostTerms{
			ID: fmt.Sprintf("engine-%d", i), Pool: SiteModels, Centre: SiteCentre, Slots: 32, Models: models,
			MB: float64(t.Room) * siteModelMB, Adapters: 2, Events: t.Events, Step: t.Step,
		}, s.Rows)
		app, err := s.start(h)
		if err != nil {
			s.Stop()
			return nil, err
		}
		s.Engines, s.Apps = append(s.Engines, h), append(s.Apps, app)
	}
	for i := range t.Services {
		h := NewHost(HostTerms{
			ID: fmt.Sprintf("service-%d", i), Pool: SiteOrders, Centre: SiteCentre, Slots: 6, Work: t.Work,
		}, s.Rows)
		if _, err := s.start(h); err != nil {
			s.Stop()
			return nil, err
		}
		s.Services = append(s.Services, h)
	}
	_, err = s.Configure(SiteKey)
	return s, err
}

// SiteModel is the name of the model with that index.
func SiteModel(i int) string { return fmt.Sprintf("model%d", i) }

// start lets a server listen and write its row.
func (s *Site) start(h *Host) (string, error) {
	address, err := s.listen(h)
	if err == nil && s.terms.Front != nil {
		address, err = s.terms.Front(address)
	}
	if err == nil {
		h.Start(address)
		s.stops = append(s.stops, h.Stop)
	}
	return address, err
}

// listen serves h on a port of the kernel's choice.
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

// Stop ends the site.
func (s *Site) Stop() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	s.stops = nil
}

// Configure writes the next version of the configuration, in which the workspace
// has those keys. It returns the version.
func (s *Site) Configure(keys ...string) (uint64, error) {
	s.version += 3
	models := []map[string]any{}
	for i := range s.terms.Models {
		models = append(models, map[string]any{
			"name": SiteModel(i), "weights_mb": siteModelMB, "adapters": 2, "adapter_mb": 1,
			"load_time_s": s.terms.Load.Seconds(), "disk_s": s.terms.Load.Seconds(), "warm_s": s.terms.Load.Seconds(),
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
				"weights_mb": s.terms.Room*siteModelMB + 10,
			}},
			{"name": SiteOrders, "health_path": "/healthz", "max_conns": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": siteHeaders, "max_body_bytes": siteBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{{
			"name": SiteTenant, "api_keys": keys, "unit": "token_rate", "plain_tokens": 200,
			"rate_per_s": s.terms.Rate, "burst": s.terms.Burst,
		}},
	}
	_, err := s.Rows.Put("op", "config", config)
	return s.version, err
}

func (s *Site) route(name, prefix, kind, pool string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": SiteHost, "prefix": prefix, "type": kind, "service": pool, "resumable": resumable,
		"timeout_ms": 5000, "latency_goal_ms": 400, "gap_aim_ms": 250, "max_attempts": 2, "priority": 1,
	}
}

// siteDeadline is the time that a caller gives its request, in milliseconds.
const siteDeadline = "4000"

// NewCall returns a caller's request to the entry at an address, an IP and a port.
// The header holds names and values in turn.
func NewCall(ctx context.Context, address, id, method, path string, header ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build a call")
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

// NewDraft returns a caller's request for a stream of a model.
func NewDraft(ctx context.Context, address, id, path, model string, header ...string) (*http.Request, error) {
	header = append([]string{"X-Model", model, "X-Token-Count", "100,50"}, header...)
	return NewCall(ctx, address, id, http.MethodPost, path, header...)
}
