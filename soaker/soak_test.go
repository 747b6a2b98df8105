package soaker

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/timer"
)

var (
	seeds    = flag.Int("seeds", 1, "number of seeds")
	first    = flag.Uint64("first", 1, "first seed")
	seconds  = flag.Int("seconds", 8, "time with faults of each seed")
	entries  = flag.Int("entries", 3, "entries")
	sidecars = flag.Int("sidecars", 3, "sidecars, one for each engine")
)

// Times of a soak.
const (
	// gapMost is the longest time between two faults, faultMost that of a fault.
	gapMost   = 700 * time.Millisecond
	faultMost = 2500 * time.Millisecond
	// calmTime is the time after the faults in which the fleet is to be back.
	calmTime = 6 * time.Second
	// proveTime is the time after that in which nearly all requests are served.
	proveTime  = 2 * time.Second
	provePart  = 0.9
	callers    = 10
	attempts   = 2
	killedTime = 300 * time.Millisecond
)

// soak is one run.
type soak struct {
	terms    imitator.SiteTerms
	site     *imitator.Site
	binary   string
	entries  []*member
	sidecars []*member
	// servers are the links before the backend servers.
	servers []*link
	book    book
	random  *rand.Rand
	clock   timer.Clock
}

func newSoak(seed uint64, binary, dir string) (*soak, error) {
	begun := time.Now()
	s := &soak{binary: binary, random: rand.New(rand.NewPCG(seed, 1)), clock: func() time.Duration { return time.Since(begun) }}
	s.terms = imitator.SiteTerms{
		Engines: *sidecars, Services: 2, Models: 2 * *sidecars, Room: 2, Load: 60 * time.Millisecond, Step: 8 * time.Millisecond,
		Events: events, Work: 10 * time.Millisecond, Rate: 1e7, Burst: 1e7, Front: s.front,
	}
	var err error
	if s.site, err = imitator.NewSite(s.terms); err != nil {
		return nil, err
	}
	if _, err = s.site.Configure(imitator.SiteKey, secondKey); err != nil {
		return nil, err
	}
	for i := range *entries {
		s.entries = append(s.entries, &member{name: fmt.Sprintf("entry-%d", i), role: "entry", dir: dir})
	}
	for i, app := range s.site.Apps {
		s.sidecars = append(s.sidecars, &member{name: fmt.Sprintf("sidecar-%d", i), role: "sidecar", app: app, dir: dir})
	}
	for _, m := range s.all() {
		if m.store, err = newLink(s.site.Store); err != nil {
			return nil, err
		}
		if err = m.start(binary); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// front puts a link before a backend server.
func (s *soak) front(address string) (string, error) {
	k, err := newLink(address)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, k)
	return k.address(), nil
}

func (s *soak) all() []*member { return append(append([]*member{}, s.entries...), s.sidecars...) }

// stop ends everything that the soak has started.
func (s *soak) stop() {
	for _, m := range s.all() {
		if m.done != nil {
			m.stop()
		}
	}
	for _, k := range s.servers {
		k.close()
	}
	s.site.Stop()
}

// play runs the callers, and the faults for a time, and then checks the promises.
func (s *soak) play() {
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients, faults sync.WaitGroup
	for i := range callers {
		c := &caller{name: fmt.Sprint("caller-", i), client: &http.Client{Transport: &http.Transport{}}, soak: s, random: rand.New(rand.NewPCG(s.random.Uint64(), 2))}
		clients.Go(func() { c.run(ctx) })
	}
	clients.Go(func() { s.withdraw(ctx) })
	for end := s.clock() + time.Duration(*seconds)*time.Second; s.clock() < end; {
		if f := s.draw(); f != nil {
			faults.Go(f)
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(gapMost))))
	}
	faults.Wait()
	time.Sleep(calmTime)
	from := s.clock()
	time.Sleep(proveTime)
	s.recovered(from)
	cancel()
	clients.Wait()
	s.check()
}

// draw draws a fault, or nil if its process has one already.
func (s *soak) draw() func() {
	lasts := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(faultMost)))
	members := s.all()
	m := members[s.random.IntN(len(members))]
	switch s.random.IntN(8) {
	case 0, 1:
		k := s.servers[s.random.IntN(len(s.servers))]
		return s.linked(k, lasts, nil)
	case 2, 3:
		return s.linked(m.store, lasts, m)
	case 4:
		k := s.servers[s.random.IntN(len(s.servers))]
		return k.reset
	case 5:
		return s.stopped(m, lasts, syscall.SIGSTOP)
	case 6:
		return s.stopped(m, killedTime, syscall.SIGKILL)
	}
	return s.stopped(m, 0, syscall.SIGTERM)
}

// linked is a trouble of a link, of a process if m is set.
func (s *soak) linked(k *link, lasts time.Duration, m *member) func() {
	t := trouble(1 + s.random.IntN(int(troubles)-1))
	if m != nil && t == silenced && s.random.IntN(2) == 0 {
		t = deaf
	}
	return func() {
		k.set(t)
		time.Sleep(lasts)
		k.set(fine)
	}
}

// stopped is a fault of a process, or nil if it has one. It runs again afterwards.
func (s *soak) stopped(m *member, lasts time.Duration, how syscall.Signal) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serving {
		return nil
	}
	m.serving, m.draining = false, how == syscall.SIGTERM
	m.faults++
	return func() {
		m.signal(how)
		time.Sleep(lasts)
		if how == syscall.SIGSTOP {
			m.signal(syscall.SIGCONT)
			m.touch(true, false)
			return
		}
		select {
		case <-m.done:
		case <-time.After(graceTime + time.Second):
			s.book.report("%s did not end within its grace period", m.name)
			m.signal(syscall.SIGKILL)
			<-m.done
		}
		m.touch(false, false)
		if err := m.start(s.binary); err != nil {
			s.book.report("%v", err)
		}
	}
}

// recovered checks that nearly all requests since an instant were served.
func (s *soak) recovered(from time.Duration) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	asked, served := 0, 0
	for _, t := range s.book.tried {
		if t.at >= from {
			asked++
			if t.served {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < provePart*float64(asked) {
		s.book.broken = append(s.book.broken, fmt.Sprintf("%v after the last fault %d of %d requests are served", calmTime, served, asked))
	}
}

// check compares what callers saw with what backend servers did.
func (s *soak) check() {
	runs := map[string]int{}
	for _, h := range append(append([]*imitator.Host{}, s.site.Engines...), s.site.Services...) {
		for id, n := range h.Runs() {
			runs[id] += n
		}
		if h.Crashes() > 0 {
			s.book.report("an engine was ordered to load more than it holds")
		}
		for i, f := range h.Fences() {
			if i > 0 && f < h.Fences()[i-1] {
				s.book.report("an engine carried out an order with fence %d after %d", f, h.Fences()[i-1])
			}
		}
	}
	for _, t := range s.book.tried {
		n := runs[t.id]
		if t.kind == "order" && n > 1 || n > attempts && t.kind != "brief" {
			s.book.report("%s %s ran %d times", t.kind, t.id, n)
		}
		if t.never && n > 0 {
			s.book.report("%s %s ran, and was said not to have", t.kind, t.id)
		}
	}
	for _, m := range s.all() {
		if used := m.memory(); used > memoryMost {
			s.book.report("%s has used %d bytes", m.name, used)
		}
	}
}

// served counts the requests that were served.
func (s *soak) served() int {
	n := 0
	for _, t := range s.book.tried {
		if t.served {
			n++
		}
	}
	return n
}

// TestSoak plays one run for each seed.
func TestSoak(t *testing.T) {
	dir, err := os.MkdirTemp("", "soak")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	binary := filepath.Join(dir, "oleanderstall")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/oleanderstall").CombinedOutput()
	assert.NilError(t, err, string(out))
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			logs := filepath.Join(dir, fmt.Sprint(seed))
			assert.NilError(t, os.Mkdir(logs, 0o700))
			s, err := newSoak(seed, binary, logs)
			if s != nil {
				defer s.stop()
			}
			assert.NilError(t, err)
			s.play()
			t.Logf("seed %d: %d requests, %d served", seed, len(s.book.tried), s.served())
			for _, text := range s.book.broken {
				t.Error(text)
			}
			if t.Failed() {
				t.Log("logs:", logs)
			}
		})
	}
}
