// Command cases plays the cases of a review: it starts entries and sidecars as separate processes
// before stand-ins of the platform's store, of backend servers and of callers, all on loopback, and
// checks a rule by what the stand-ins see.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// Names in the configuration of the small deployment.
const (
	host    = "desk.example"
	tenant  = "gent"
	apiKey  = "key-of-gent"
	service = "orders"
	zone    = "zone-a"
)

// startTimeout bounds the time until an entry says that it is ready.
const startTimeout = 20 * time.Second

// errNotReady reports that a process did not become ready in time.
var errNotReady = errors.New("a process did not become ready in time")

// fleet is a small deployment: the store, backend servers that the case adds, and processes of the
// system.
type fleet struct {
	rows    *imitator.RowStore
	store   string
	dir     string
	binary  string
	start   time.Time
	version int

	mu        sync.Mutex
	record    *os.File
	requests  int
	crashed   sync.Once
	processes []*process
	stops     []func()
}

// newFleet starts the store and creates the record.
func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{rows: imitator.NewRowStore(), dir: dir, binary: os.Getenv("OLEANDERSTALL"), start: time.Now(), record: record}
	if f.binary == "" {
		f.binary = "target/oleanderstall"
	}
	f.store, err = f.listen(f.rows)
	return f, err
}

// log writes a line with the time since the start to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// listen serves a handler on a free port of loopback and returns the address.
func (f *fleet) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	f.stops = append(f.stops, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// route returns a route of the configuration to a service.
func route(name, kind, pool string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "type": kind, "service": pool, "max_attempts": 2, "priority": 1,
		"timeout_ms": timeout.Milliseconds(), "latency_goal_ms": 400, "gap_aim_ms": 1000, "anonymous": false, "sticky": false, "resumable": false,
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure(routes, services []map[string]any) error {
	f.version += 3
	_, err := f.rows.Put("op", "config", map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "unit": "token_rate", "plain_tokens": 200, "rate_per_s": 1e7, "burst": 1e7}},
	})
	return err
}

// beat writes the row of a backend server every 300 ms until the returned function is called, which
// removes the row.
func (f *fleet) beat(id string, row func() map[string]any) (stop func()) {
	done := make(chan struct{})
	write := func() {
		if r := row(); r != nil {
			_, _ = f.rows.Put("servers", id, r)
		}
	}
	write()
	go func() {
		tick := time.NewTicker(300 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				write()
			}
		}
	}()
	return sync.OnceFunc(func() { close(done); f.rows.Remove("servers", id) })
}

// process is a process of the system.
type process struct {
	name      string
	command   *exec.Cmd
	logFile   *os.File
	callers   string
	ready     string
	operators string
	done      chan struct{}
}

// freeAddress returns an address of loopback with a port that was free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// hosted returns the settings that the template of the deploy file gives to each process.
func (f *fleet) hosted(memory int) map[string]any {
	return map[string]any{
		"store":     f.store,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
		"memory":    memory, "grace": "8s", "lease": "3000ms", "window": "8s",
	}
}

// startEntry starts an entry with the command and the settings of the deploy file, and waits until
// it is ready.
func (f *fleet) startEntry(name string) (*process, error) {
	p := &process{name: name}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	p.callers, p.ready = addresses[0], addresses[1]
	hosted := f.hosted(284)
	hosted["ready"], hosted["zones"], hosted["slack"] = p.ready, map[string]string{zone: "region-a"}, 17000
	hosted["retries"] = map[string]any{"ratio": 0.2, "slack": 52}
	settings := map[string]any{
		"role": "entry", "name": name, "centre": zone, "peer": addresses[2], "admin": addresses[3], "hosted": hosted,
		"entry": map[string]any{"callers": p.callers, "grace": "2800ms"},
	}
	if err := f.run(p, "entry", settings); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if isReady(p.ready) {
			f.log("%s is ready, callers at %s", name, p.callers)
			return p, nil
		}
	}
	return nil, errNotReady
}

// startSidecar starts a sidecar beside the engine at an address.
func (f *fleet) startSidecar(name, pool, engine string) (*process, error) {
	p := &process{name: name}
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return p, f.run(p, "sidecar", map[string]any{
		"role": "sidecar", "name": name, "centre": zone, "peer": peer, "admin": admin, "hosted": f.hosted(216),
		"sidecar": map[string]any{"kind": "engine", "backend": "http://" + engine, "pool": pool},
	})
}

// run writes the settings file of a process and starts it.
func (f *fleet) run(p *process, role string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, p.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(f.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.command = exec.Command(f.binary, role)
	p.command.Env = append(os.Environ(), "OLEANDERSTALL_CONFIG="+file)
	p.command.Stdout, p.command.Stderr = logFile, logFile
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	f.processes = append(f.processes, p)
	p.logFile = logFile
	go f.wait(p, p.command, p.done)
	return nil
}

// restart stops a process by SIGTERM and starts it again with its settings.
func (f *fleet) restart(p *process) error {
	f.signal(p, syscall.SIGTERM)
	return f.startAgain(p)
}

// startAgain waits for the end of a process and starts it again with its settings.
func (f *fleet) startAgain(p *process) error {
	<-p.done
	next := exec.Command(p.command.Path, p.command.Args[1:]...)
	next.Env, next.Stdout, next.Stderr = p.command.Env, p.logFile, p.logFile
	if err := next.Start(); err != nil {
		return err
	}
	p.command, p.done = next, make(chan struct{})
	f.log("%s starts again", p.name)
	go f.wait(p, next, p.done)
	return nil
}

// wait waits for the end of a process.
func (f *fleet) wait(p *process, command *exec.Cmd, done chan struct{}) {
	f.log("%s has ended: %v", p.name, command.Wait())
	close(done)
}

// isReady asks the readiness listener of an entry.
func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.log("%s gets %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

// ended reports whether a process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends all processes and servers.
func (f *fleet) stop() {
	for _, p := range f.processes {
		if !p.ended() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	for _, stop := range f.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Close()
}
