package overloader

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitLimit bounds each wait for a condition.
const waitLimit = 30 * time.Second

// binary is the path of the binary that the tests start.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binary, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overloader")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "oleanderstall")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/oleanderstall").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// addresses are the addresses that a process logs once it is ready.
type addresses struct {
	Message   string `json:"message"`
	Listen    string `json:"listen"`
	Peer      string `json:"peer"`
	Admin     string `json:"admin"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// instance is a started process of the binary.
type instance struct {
	addresses
	t       testing.TB
	command *exec.Cmd
	// ended is closed at the end of the process.
	ended chan struct{}
	// lines are the first lines of its log, for failed tests.
	lines chan string
}

// limits are the resources that a process gets. The process gets memory, in bytes, through its
// settings or GOMEMLIMIT.
type limits struct {
	memory      int
	descriptors int
}

// launch starts the binary with a limit of descriptors and waits for its addresses. env are
// further environment variables.
func launch(t testing.TB, descriptors int, env []string, args ...string) *instance {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p := &instance{t: t, command: exec.Command("sh", append([]string{"-c", script, binary}, args...)...), ended: make(chan struct{}), lines: make(chan string, 400)}
	p.command.Env = append(os.Environ(), env...)
	output, err := p.command.StdoutPipe()
	assert.NilError(t, err)
	p.command.Stderr = os.Stderr
	assert.NilError(t, p.command.Start())
	ready := make(chan addresses, 1)
	go func() {
		defer close(p.ended)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			var a addresses
			if json.Unmarshal(lines.Bytes(), &a) == nil && a.Message == "start: ready" {
				ready <- a
			}
			select {
			case p.lines <- lines.Text():
			default:
			}
		}
		_ = p.command.Wait()
	}()
	t.Cleanup(p.stop)
	select {
	case p.addresses = <-ready:
	case <-time.After(waitLimit):
		t.Fatalf("%v did not become ready", args)
	}
	return p
}

// stop ends the process and prints the log of a failed test.
func (p *instance) stop() {
	_ = p.command.Process.Kill()
	<-p.ended
	close(p.lines)
	for line := range p.lines {
		if p.t.Failed() {
			p.t.Log(line)
		}
	}
}

// lives reports whether the process has not ended.
func (p *instance) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// memory returns the peak resident memory of the process in bytes.
func (p *instance) memory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			assert.NilError(p.t, err)
			return kilobytes << 10
		}
	}
	p.t.Fatal("the status has no peak memory")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *instance) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	assert.NilError(p.t, err)
	return len(open)
}

// settingsFile writes settings and returns the path of their file.
func settingsFile(t testing.TB, settings map[string]any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	data, err := json.Marshal(settings)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// eventually waits until try succeeds. It fails the test with the last error after waitLimit.
func eventually(t testing.TB, what string, try func() error) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}
