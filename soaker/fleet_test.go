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

// Limits of a process of the fleet.
const (
	gracePeriod   = 3 * time.Second
	leaseDuration = time.Second
	// storeLeaseDuration is the lease in a run with trouble of the store. A sidecar that starts then
	// sends its first order later than leaseDuration even if it does not wait.
	storeLeaseDuration = 2 * time.Second
	startTimeout       = 15 * time.Second
	// maxMemory bounds the peak resident memory of a process, in bytes.
	maxMemory = 256 << 20
)

// member is one process of the fleet with its proxied link to the store.
type member struct {
	name          string
	role          string
	engineAddress string
	dir           string
	lease         time.Duration
	storeLink     *link
	command       *exec.Cmd
	done          chan struct{}

	mu            sync.Mutex
	callerAddress string
	faultCount    int
	// serving is set while callers may send requests to the process, draining while
	// it shuts down after SIGTERM.
	serving  bool
	draining bool
	// continuedAt are the times at which the process was continued after a stop.
	continuedAt []time.Time
}

// settings returns the contents of the process's settings file.
func (m *member) settings() []byte {
	settings := map[string]any{
		"role": m.role, "name": m.name, "centre": imitator.SiteCentre, "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"hosted": map[string]any{"store": m.storeLink.address, "grace": gracePeriod.String(), "lease": m.lease.String()},
	}
	if m.role == "entry" {
		settings["hosted"].(map[string]any)["ready"] = "127.0.0.1:0"
		settings["entry"] = map[string]any{"callers": "127.0.0.1:0", "grace": "200ms"}
	} else {
		settings["sidecar"] = map[string]any{"kind": "engine", "backend": "http://" + m.engineAddress, "pool": imitator.SiteModels}
	}
	data, _ := json.Marshal(settings)
	return data
}

// start starts the process and waits until it logs that it is ready. It returns an
// error if that takes longer than startTimeout.
func (m *member) start(binary string) error {
	settingsFile := filepath.Join(m.dir, m.name+".json")
	if err := os.WriteFile(settingsFile, m.settings(), 0o600); err != nil {
		return err
	}
	m.command = exec.Command(binary, m.role, "--settings", settingsFile)
	output, err := m.command.StdoutPipe()
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command.Stderr = logFile
	if err := m.command.Start(); err != nil {
		return err
	}
	ready := make(chan string, 1)
	m.done = make(chan struct{})
	go m.readLog(io.TeeReader(output, logFile), logFile, ready, m.done)
	select {
	case address := <-ready:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.callerAddress, m.serving, m.draining = address, true, false
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("%s did not become ready in time", m.name)
	}
}

// readLog reads the log of the process until the process ends. It sends the address
// for callers to ready and closes done at the end.
func (m *member) readLog(output io.Reader, logFile io.Closer, ready chan<- string, done chan<- struct{}) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct{ Message, Callers string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "start: ready" {
			ready <- line.Callers
		}
	}
	_ = m.command.Wait()
	_ = logFile.Close()
	close(done)
}

// signal sends a signal to the process.
func (m *member) signal(sig syscall.Signal) { _ = m.command.Process.Signal(sig) }

// ended reports whether the process has ended.
func (m *member) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// recordFault increments the fault count and sets whether the process takes requests
// and whether it is draining.
func (m *member) recordFault(serving, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultCount++
	m.serving, m.draining = serving, draining
}

// status returns the address for callers, which is empty while the process takes no
// requests, the number of its faults so far, and whether it is draining.
func (m *member) status() (address string, faults int, draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.serving {
		address = m.callerAddress
	}
	return address, m.faultCount, m.draining
}

// peakMemory returns the peak resident memory of the process in bytes, or 0 if the
// process has ended.
func (m *member) peakMemory() int {
	procStatus, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(procStatus)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

// stop kills the process, waits for its end and closes its link.
func (m *member) stop() {
	m.signal(syscall.SIGKILL)
	<-m.done
	m.storeLink.close()
}
