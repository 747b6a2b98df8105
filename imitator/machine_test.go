package imitator

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startMachine serves an engine with the model "m" on a machine.
func startMachine(t *testing.T, options MachineOptions) (*Backend, *httptest.Server) {
	b := NewBackend(BackendOptions{ID: "e", Slots: 8, EventsPerStream: 20, EventInterval: 10 * time.Millisecond, Machine: options}, NewRowStore())
	b.models["m"] = nil
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return b, server
}

// stream sends a request for a stream and returns the head of its answer.
func stream(t *testing.T, server *httptest.Server, id, tokens, priority string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", nil)
	assert.NilError(t, err)
	for name, value := range map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Count": tokens, "X-Request-Priority": priority} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// TestMachineStatesLoad guards against a stand-in that states no fourth figure, or does so where
// none is asked for.
func TestMachineStatesLoad(t *testing.T) {
	b, server := startMachine(t, MachineOptions{Speed: 2})
	assert.Equal(t, stream(t, server, "1", "5,5", "0").Header.Get("X-Server-Load"), "1,0,8,100")
	b.Slow(2.5, time.Minute)
	load := stream(t, server, "2", "5,5", "0").Header.Get("X-Server-Load")
	assert.Assert(t, strings.HasSuffix(load, ",250"), load)
	_, plain := startMachine(t, MachineOptions{})
	assert.Equal(t, stream(t, plain, "3", "5,5", "0").Header.Get("X-Server-Load"), "")
}

// TestMachinePreempts guards against a stand-in whose memory is never full, or that preempts other
// requests than the newest of the least urgent.
func TestMachinePreempts(t *testing.T) {
	b, server := startMachine(t, MachineOptions{Speed: 1, MemoryTokens: 1000, EventTokens: 10})
	urgent := stream(t, server, "1", "400,100", "0")
	older := stream(t, server, "2", "100,100", "2")
	newest := stream(t, server, "3", "100,100", "2")
	used := func() int {
		res, err := http.Get(server.URL + "/v1/report")
		assert.NilError(t, err)
		defer func() { _ = res.Body.Close() }()
		var report struct {
			Used  int `json:"kv_used"`
			Total int `json:"kv_total"`
		}
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&report))
		assert.Equal(t, report.Total, 1000)
		return report.Used
	}
	assert.Assert(t, used() >= 600 && used() <= 1000)
	_, errNewest := io.Copy(io.Discard, bufio.NewReader(newest.Body))
	_, errUrgent := io.Copy(io.Discard, bufio.NewReader(urgent.Body))
	_, errOlder := io.Copy(io.Discard, bufio.NewReader(older.Body))
	assert.Assert(t, errNewest != nil && errUrgent == nil && errOlder == nil, "%v %v %v", errNewest, errUrgent, errOlder)
	assert.Equal(t, b.Preempted(), 1)
}
