package soaker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// Times of a process.
const (
	graceTime = 3 * time.Second
	leaseTime = time.Second
	readyTime = 15 * time.Second
	// memoryMost is the most memory of a process, in bytes.
	memoryMost = 256 << 20
)

// member is one process of the fleet, with its link to the store. Its number grows
// with each fault that it is part of.
type member struct {
	name    string
	role    string
	app     string
	dir     string
	store   *link
	command *exec.Cmd
	done    chan struct{}

	mu      sync.Mutex
	callers string
	faults  int
	// serving is set while callers may choose the process, draining while it ends
	// after a notice.
	serving  bool
	draining bool
}

// settings is the settings file of the process.
func (m *member) settings() []byte {
	s := map[string]any{
		"role": m.role, "name": m.name, "centre": imitator.SiteCentre, "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"hosted": map[string]any{"store": m.store.address(), "grace": graceTime.String(), "lease": leaseTime.String()},
	}
	if m.role == "entry" {
		s["hosted"].(map[string]any)["ready"] = "127.0.0.1:0"
		s["entry"] = map[string]any{"callers": "127.0.0.1:0", "grace": "200ms"}
	} else {
		s["sidecar"] = map[string]any{"kind": "engine", "backend": "http://" + m.app, "pool": imitator.SiteModels}
	}
	data, _ := json.Marshal(s)
	return data
}

// start starts the process and waits until it listens.
func (m *member) start(binary string) error {
	file := filepath.Join(m.dir, m.name+".json")
	if err := os.WriteFile(file, m.settings(), 0o600); err != nil {
		return err
	}
	m.command = exec.Command(binary, m.role, "--settings", file)
	out, err := m.command.StdoutPipe()
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command.Stderr = logs
	if err := m.command.Start(); err != nil {
		return err
	}
	ready := make(chan string, 1)
	m.done = make(chan struct{})
	go m.follow(io.TeeReader(out, logs), logs, ready, m.done)
	select {
	case address := <-ready:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.callers, m.serving, m.draining = address, true, false
		return nil
	case <-time.After(readyTime):
		return fmt.Errorf("%s did not start", m.name)
	}
}

// follow reads the log of the process until it ends.
func (m *member) follow(out io.Reader, logs io.Closer, ready chan<- string, done chan<- struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct{ Message, Callers string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "start: ready" {
			ready <- line.Callers
		}
	}
	_ = m.command.Wait()
	_ = logs.Close()
	close(done)
}

// signal sends a signal to the process.
func (m *member) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// touch counts a fault, and sets whether callers may choose the process.
func (m *member) touch(serving, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults++
	m.serving, m.draining = serving, draining
}

// look returns the address for callers, or an empty one if the process is not to be
// chosen, and the number of its faults.
func (m *member) look() (address string, faults int, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.serving {
		address = m.callers
	}
	return address, m.faults, m.draining
}

// memory returns the most memory that the process has had, in bytes, or 0 if it has
// ended.
func (m *member) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

// stop ends the process.
func (m *member) stop() {
	m.signal(syscall.SIGKILL)
	<-m.done
	m.store.close()
}
