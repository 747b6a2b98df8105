package overloader

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	testSecret = "a secret for tests only"
	testToken  = "an operator token for tests"
	// heapShare is the share of the memory of a process that GOMEMLIMIT gives the Go runtime, as
	// hosted processes set it themselves.
	heapShare = 0.7
)

// nativeIntent configures a plain service whose routes need no key.
const nativeIntent = `{
  "workspaces": [{"name": "tourism", "rate": 1e9, "burst": 1e9}],
  "routes": [
    {"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "open": true},
    {"name": "status", "method": "GET", "path": "/status", "pool": "orders", "idempotent": true, "open": true}
  ]
}`

// freeAddress returns a TCP address of loopback that was free.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// native is a fleet of the native API: an entry, a sidecar and the stand-ins.
type native struct {
	entry   *instance
	sidecar *instance
}

// startNative starts a fleet whose entry and sidecar have the given limits.
func startNative(t testing.TB, within limits) *native {
	t.Helper()
	return startNativeAt(t, within, "http://"+launch(t, 3075, nil, "standin", "service").Listen)
}

// startNativeAt starts a fleet whose plain service has the given URL.
func startNativeAt(t testing.TB, within limits, service string) *native {
	t.Helper()
	platform := launch(t, 3075, nil, "standin", "platform")
	common := func(role, name string) map[string]any {
		return map[string]any{
			"role": role, "name": name, "centre": "centre-1", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
			"platform": "http://" + platform.Listen, "secret": testSecret, "lease": "2s", "shards": 4,
		}
	}
	env := []string{fmt.Sprintf("GOMEMLIMIT=%dB", int(heapShare*float64(within.memory)))}
	settings := common("entry", "entry-a")
	settings["entry"] = map[string]any{
		"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "grace": "200ms", "body": maxBody, "deadline": "5s",
		"accounts": []map[string]any{{"name": "tester", "token": testToken}},
	}
	n := &native{entry: launch(t, within.descriptors, env, "entry", "--settings", settingsFile(t, settings))}
	settings = common("sidecar", "orders-a")
	settings["sidecar"] = map[string]any{"kind": "service", "backend": service, "pool": "orders"}
	n.sidecar = launch(t, within.descriptors, env, "sidecar", "--settings", settingsFile(t, settings))
	var plan struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.Unmarshal(n.operate(t, nativeIntent, "intent", "-"), &plan))
	n.operate(t, "", "confirm", plan.ID)
	eventually(t, "the entry serves", n.request(t))
	return n
}

// operate runs an operator's command and returns its output.
func (n *native) operate(t testing.TB, input string, args ...string) []byte {
	t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), "OLEANDERSTALL_ENTRY=http://"+n.entry.Operators, "OLEANDERSTALL_TOKEN="+testToken)
	command.Stdin = strings.NewReader(input)
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return output
}

// request returns a function that sends an ordinary request to the entry.
func (n *native) request(t testing.TB) func() error {
	return func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.entry.Callers+"/status", nil)
		assert.NilError(t, err)
		return expectStatus(req, http.StatusOK)
	}
}

// target returns the listener for callers.
func (n *native) target() target {
	head := " HTTP/1.1\r\nHost: site.example\r\n"
	return target{address: n.entry.Callers, bodyHead: "POST /orders" + head, plainHead: "GET /status" + head}
}

// TestNativeCallers guards against an entry of the native API that ends, hangs or exceeds the
// memory or the descriptors of its instance because of a few callers.
func TestNativeCallers(t *testing.T) {
	for _, l := range slices.Concat(bodyLoads, connectionLoads) {
		t.Run(l.name, func(t *testing.T) {
			n := startNative(t, l.within())
			checkLoad(t, n.entry, l.within(), n.target(), l, n.request(t))
		})
	}
}
