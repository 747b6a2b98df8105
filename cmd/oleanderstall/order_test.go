package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const orderIntent = `{
  "workspaces": [{"name": "tourism", "rate": 1000, "burst": 1000}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]
}`

// startOrderCluster starts two entries and two sidecars with one order service that takes
// two seconds for an order.
func startOrderCluster(t *testing.T) (c *cluster, key string) {
	c = &cluster{t: t, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	c.platform = launch(t, "standin", "platform")
	c.startEntry("entry-a")
	c.startEntry("entry-b")
	service := launch(t, "standin", "service", "--work", "2s")
	for _, name := range []string{"orders-a", "orders-b"} {
		c.backends[name] = service
		c.startSidecar(name, "service", "orders")
	}
	c.configure(orderIntent)
	key = c.grantKey("tourism").Key
	c.eventually("an order is placed", func() bool {
		return c.send(c.entries[0], key, "/orders", "first").status == http.StatusCreated &&
			c.send(c.entries[1], key, "/orders", "second").status == http.StatusCreated
	})
	return c, key
}

// placeOrder sends an order in the background and waits until the service runs it. The
// status of the result is 0 if the entry did not answer.
func (c *cluster) placeOrder(entry *proc, key, body, idempotencyKey string) <-chan result {
	res := make(chan result, 1)
	go func() {
		r, err := c.trySend(entry, key, "/orders", body, "Idempotency-Key", idempotencyKey)
		if err != nil {
			r = result{}
		}
		res <- r
	}()
	c.eventually("the service has the order", func() bool { return c.orderCounts().Runs[body] == 1 })
	return res
}

// TestEntryKilledDuringOrder kills the entry of a running order. The order is sent again
// with its key through the other entry, which must answer it without a second run.
func TestEntryKilledDuringOrder(t *testing.T) {
	t.Parallel()
	c, key := startOrderCluster(t)
	res := c.placeOrder(c.entries[0], key, "500 maps", "k1")
	c.entries[0].signal(syscall.SIGKILL)
	assert.Equal(t, (<-res).status, 0)
	again := c.send(c.entries[1], key, "/orders", "500 maps", "Idempotency-Key", "k1")
	assert.Equal(t, again.status, http.StatusCreated, again.body)
	assert.Equal(t, c.orderCounts().Runs["500 maps"], 1)
}

// TestSidecarKilledDuringOrder kills the sidecars during a running order. The caller must
// learn that the order may have run, also when it sends it again, and the order must have
// run once.
func TestSidecarKilledDuringOrder(t *testing.T) {
	t.Parallel()
	c, key := startOrderCluster(t)
	res := c.placeOrder(c.entries[0], key, "500 maps", "k1")
	for _, p := range c.sidecars {
		p.signal(syscall.SIGKILL)
	}
	lost := <-res
	assert.Assert(t, lost.status >= http.StatusInternalServerError, lost.body)
	assert.Equal(t, lost.run(), "unknown")
	assert.Equal(t, lost.header.Get("X-Should-Retry"), "false")
	c.backends["orders-c"] = c.backends["orders-a"]
	c.startSidecar("orders-c", "service", "orders")
	var again result
	c.eventually("a new sidecar answers", func() bool {
		again = c.send(c.entries[1], key, "/orders", "500 maps", "Idempotency-Key", "k1", "X-Deadline-Ms", "2000")
		return again.run() == "unknown"
	})
	assert.Equal(t, c.orderCounts().Runs["500 maps"], 1)
}

// restoreTable makes the platform's table come back from a copy of that age.
func (c *cluster) restoreTable(age time.Duration) {
	c.t.Helper()
	body := fmt.Sprintf(`{"ago": %d}`, age.Milliseconds())
	res, err := http.Post(c.url(c.platform)+"/restore", "application/json", strings.NewReader(body))
	assert.NilError(c.t, err)
	assert.NilError(c.t, res.Body.Close())
}

// TestOrderAfterRestore guards against an order that runs twice because the platform's table came
// back from a copy without its claim, while the entry or the sidecar that knows of the order is
// killed. Until the answer is known, its repetitions learn that it may have run.
func TestOrderAfterRestore(t *testing.T) {
	const copyAge, observed = 3 * time.Second, 10 * time.Second
	for _, tt := range []struct {
		name     string
		kill     func(c *cluster)
		answered bool
	}{
		{name: "entry killed", kill: func(c *cluster) { c.entries[0].signal(syscall.SIGKILL) }, answered: true},
		{name: "sidecars killed", kill: func(c *cluster) {
			for name, p := range c.sidecars {
				p.signal(syscall.SIGKILL)
				c.startSidecar(name, "service", "orders")
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, key := startOrderCluster(t)
			time.Sleep(copyAge + time.Second)
			res := c.placeOrder(c.entries[0], key, "500 maps", "k1")
			tt.kill(c)
			<-res
			c.restoreTable(copyAge)
			var statuses []int
			for started := time.Now(); time.Since(started) < observed; time.Sleep(300 * time.Millisecond) {
				again := c.send(c.entries[1], key, "/orders", "500 maps", "Idempotency-Key", "k1", "X-Deadline-Ms", "1000")
				statuses = append(statuses, again.status)
				assert.Equal(t, c.orderCounts().Runs["500 maps"], 1)
			}
			assert.Assert(t, slices.Contains(statuses, http.StatusGatewayTimeout) || tt.answered, "%v", statuses)
			assert.Equal(t, slices.Contains(statuses, http.StatusCreated), tt.answered, "%v", statuses)
			c.eventually("another order is placed", func() bool {
				return c.send(c.entries[1], key, "/orders", "100 maps", "Idempotency-Key", "k2").status == http.StatusCreated
			})
			assert.Equal(t, c.orderCounts().Runs["100 maps"], 1)
		})
	}
}
