package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

// Bounds of the answers.
const (
	// callerTime is the deadline of a request, and lateTime what an answer may take
	// beyond it.
	callerTime = 4 * time.Second
	lateTime   = time.Second
	events     = 10
	// withdrawnTime is how long a key may be served after it was withdrawn.
	withdrawnTime = 5 * time.Second
)

// tried is a request and what its caller saw.
type tried struct {
	id     string
	kind   string
	entry  string
	at     time.Duration
	took   time.Duration
	served bool
	// never is set if the answer states that the request has not run.
	never bool
	// calm is set if the entry had no fault from the request to its answer.
	calm bool
}

// book collects the requests and the promises that were broken.
type book struct {
	mu     sync.Mutex
	tried  []tried
	broken []string
}

func (b *book) add(t tried) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tried = append(b.tried, t)
}

// report takes note of a broken promise.
func (b *book) report(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// caller sends requests one after the other until ctx ends.
type caller struct {
	name   string
	client *http.Client
	random *rand.Rand
	soak   *soak
	number int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if m, address := c.choose(); m != nil {
			c.send(ctx, m, address)
		}
		time.Sleep(time.Duration(5+c.random.IntN(40)) * time.Millisecond)
	}
}

// choose returns an entry that takes requests.
func (c *caller) choose() (*member, string) {
	m := c.soak.entries[c.random.IntN(len(c.soak.entries))]
	address, _, _ := m.look()
	if address == "" {
		return nil, ""
	}
	return m, address
}

// request draws a request.
func (c *caller) request(ctx context.Context, address string) (*http.Request, tried, error) {
	c.number++
	t := tried{id: fmt.Sprintf("%08x%08x", c.random.Uint32(), c.number), at: c.soak.clock()}
	model := imitator.SiteModel(c.random.IntN(c.soak.terms.Models))
	var req *http.Request
	var err error
	switch c.random.IntN(4) {
	case 0:
		t.kind = "draft"
		req, err = imitator.NewDraft(ctx, address, t.id, "/draft/x", model)
	case 1:
		t.kind = "brief"
		req, err = imitator.NewDraft(ctx, address, t.id, "/brief/x", model)
	case 2:
		t.kind = "order"
		req, err = imitator.NewCall(ctx, address, t.id, http.MethodPost, "/order/x")
	default:
		t.kind = "status"
		req, err = imitator.NewCall(ctx, address, t.id, http.MethodGet, "/status/x")
	}
	return req, t, err
}

// send sends one request and checks its answer.
func (c *caller) send(ctx context.Context, m *member, address string) {
	_, before, _ := m.look()
	limited, cancel := context.WithTimeout(ctx, callerTime+lateTime)
	defer cancel()
	req, t, err := c.request(limited, address)
	if err != nil {
		c.soak.book.report("%s: %v", c.name, err)
		return
	}
	t.entry = m.name
	res, err := c.client.Do(req)
	if err == nil {
		err = c.read(res, &t)
		_ = res.Body.Close()
	}
	_, after, draining := m.look()
	if err != nil && draining && after == before+1 && (t.kind == "order" || t.kind == "status") && broken(err) {
		c.soak.book.report("%s %s: broken off by %s, which was told to stop: %v", t.kind, t.id, t.entry, err)
	}
	t.took = c.soak.clock() - t.at
	t.calm = before == after
	if ctx.Err() != nil {
		return
	}
	if t.calm && !draining && errors.Is(err, context.DeadlineExceeded) {
		c.soak.book.report("%s %s at %s: no final answer within %v", t.kind, t.id, t.entry, t.took)
	}
	c.soak.book.add(t)
}

// broken reports whether an answer broke off, on a connection that had been made.
func broken(err error) bool {
	return !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) && !errors.Is(err, syscall.ECONNREFUSED)
}

// read checks an answer.
func (c *caller) read(res *http.Response, t *tried) error {
	t.never = res.Header.Get("X-Not-Executed") != ""
	if res.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, res.Body)
		return err
	}
	if t.never {
		c.soak.book.report("%s %s: served, and said not to have run", t.kind, t.id)
	}
	if t.kind == "order" || t.kind == "status" {
		return c.plain(res, t)
	}
	return c.stream(res, t)
}

// plain checks the answer of a plain service.
func (c *caller) plain(res *http.Response, t *tried) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.Header.Get("X-Response-Seal") != "seal-"+t.id || !strings.Contains(string(body), t.kind) {
		c.soak.book.report("%s %s: the answer to another request: %q", t.kind, t.id, body)
	}
	t.served = true
	return nil
}

// stream checks that the events of a stream come in order, none twice, and that it
// does not end as complete before the last one.
func (c *caller) stream(res *http.Response, t *tried) error {
	lines := bufio.NewScanner(res.Body)
	next := 1
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if text != fmt.Sprintf("%s.%d", t.id, next) {
			c.soak.book.report("%s %s: event %q in place of %d", t.kind, t.id, text, next)
			return nil
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if next != events+1 {
		c.soak.book.report("%s %s: ended as complete after %d of %d events", t.kind, t.id, next-1, events)
	}
	t.served = true
	return nil
}

// secondKey is withdrawn while the faults go on.
const secondKey = "key-2-of-tourism"

// withdraw withdraws the second key and then uses it until ctx ends. An entry without
// a fault since may serve it for withdrawnTime.
func (s *soak) withdraw(ctx context.Context) {
	if _, err := s.site.Configure(imitator.SiteKey); err != nil {
		s.book.report("configure: %v", err)
		return
	}
	var faults []int
	for _, m := range s.entries {
		_, n, _ := m.look()
		faults = append(faults, n)
	}
	last := s.clock() + withdrawnTime
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(100 * time.Millisecond)
		m := s.entries[i%len(s.entries)]
		address, n, _ := m.look()
		if address == "" || n != faults[i%len(faults)] {
			continue
		}
		id := fmt.Sprintf("%016x", 1<<40+i)
		req, err := imitator.NewCall(ctx, address, id, http.MethodGet, "/status/x", "X-Api-Key", secondKey)
		if err != nil {
			continue
		}
		begun := s.clock()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && begun > last {
			s.book.report("%s served a key %v after it was withdrawn", m.name, begun-last+withdrawnTime)
		}
	}
}
