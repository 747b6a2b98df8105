package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPoolMetrics guards against metrics of pools that are registered and not served.
func TestPoolMetrics(t *testing.T) {
	m := New()
	m.RegisterPools(func() []PoolSpeed {
		return []PoolSpeed{{Pool: "p", Slowest: 2.5, Fastest: 0.5, MemoryWaits: 3, MemoryOverfull: 1}}
	})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`oleanderstall_pool_slowest{pool="p"} 2.5`, `oleanderstall_pool_fastest{pool="p"} 0.5`,
		`oleanderstall_memory_waits_total{pool="p"} 3`, `oleanderstall_memory_overfull_total{pool="p"} 1`,
	} {
		assert.Check(t, strings.Contains(w.Body.String(), line), line)
	}
}
