package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the text that a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{start: time.Now(), file: f}
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// process is a process of the system.
type process struct {
	name     string
	command  *exec.Cmd
	settings string
	role     string
	callers  string
	ready    string
	done     chan struct{}
	ends     int
}

// started holds all processes, so that quit ends them.
var (
	startedMu sync.Mutex
	started   []*process
	folder    string
)

// quit ends all processes that were started and then this one.
func quit(code int) {
	startedMu.Lock()
	for _, p := range started {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range started {
		<-p.done
	}
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// freePort returns a free address on loopback for a network, from a range that the kernel gives to no
// outgoing connection.
func freePort(network string) string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(20000))
		if network == "udp" {
			if c, err := net.ListenPacket("udp", address); err == nil {
				_ = c.Close()
				return address
			}
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	check(errors.New("no port is free"))
	return ""
}

// Memory limits of the machines of the site plooiwerk-gent.
const (
	entryMemoryMB   = 284
	sidecarMemoryMB = 216
)

// hosted returns the settings that the files in deploy take from the site's bounds.
func hosted(store string, memory int) map[string]any {
	return map[string]any{"store": store, "memory": memory, "grace": "8s", "lease": "3000ms", "window": "8s"}
}

// newEntry prepares an entry with settings as deploy/entry.json gives them.
func newEntry(name, zone, store string) *process {
	p := &process{name: name, role: "entry", callers: freePort("tcp"), ready: freePort("tcp")}
	h := hosted(store, entryMemoryMB)
	h["ready"], h["slack"], h["retries"] = p.ready, 17000, map[string]any{"ratio": 0.2, "slack": 52}
	p.write(map[string]any{
		"role": "entry", "name": name, "centre": zone, "peer": freePort("udp"), "admin": freePort("tcp"),
		"hosted": h, "entry": map[string]any{"callers": p.callers, "grace": "2800ms"},
	})
	return p
}

// newSidecar prepares a sidecar with settings as deploy/sidecar.json gives them.
func newSidecar(name, zone, store string, e *engine) *process {
	p := &process{name: name, role: "sidecar"}
	p.write(map[string]any{
		"role": "sidecar", "name": name, "centre": zone, "peer": freePort("udp"), "admin": freePort("tcp"),
		"hosted": hosted(store, sidecarMemoryMB), "sidecar": map[string]any{"kind": "engine", "backend": "http://" + e.address, "pool": e.spec.Service},
	})
	return p
}

// write writes the settings file.
func (p *process) write(settings map[string]any) {
	data, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	p.settings = filepath.Join(folder, p.name+".json")
	check(os.WriteFile(p.settings, data, 0o600))
}

// start starts the process with the command of the deploy file.
func (p *process) start() {
	out, err := os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	p.command = exec.Command("target/oleanderstall", p.role)
	p.command.Env = append(os.Environ(), "OLEANDERSTALL_CONFIG="+p.settings)
	p.command.Stdout, p.command.Stderr = out, out
	check(p.command.Start())
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(p.command, p.done)
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, other := range started {
		if other == p {
			return
		}
	}
	started = append(started, p)
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// residentMB returns the memory of the process in megabytes, or 0.
func (p *process) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// log returns what the process has written.
func (p *process) log() string {
	data, _ := os.ReadFile(filepath.Join(folder, p.name+".log"))
	return string(data)
}
