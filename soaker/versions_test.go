package soaker

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"oleanderstall/imitator"
)

const (
	// takerCount is the number of callers who take streams up, maxTakeUps the number of times that one
	// does so with a stream, and minTakeUps the number of take-ups from which their share is checked.
	takerCount = 6
	maxTakeUps = 3
	minTakeUps = 12
)

// takeUp is a request that takes a stream up.
type takeUp struct {
	sentAt time.Duration
	goesOn bool
}

// taker is a caller who leaves streams halfway, or loses them, and takes them up at any entry.
type taker struct {
	caller
	client *http.Client
}

// newTaker returns the function that begins streams and takes them up until its context ends.
func (s *soakRun) newTaker(name string) func(context.Context) {
	t := &taker{caller: caller{name: name, soakRun: s, random: rand.New(rand.NewPCG(s.random.Uint64(), 5))}, client: &http.Client{Transport: &http.Transport{}}}
	return func(ctx context.Context) {
		for ctx.Err() == nil {
			t.readStream(ctx)
			time.Sleep(time.Duration(5+t.random.IntN(60)) * time.Millisecond)
		}
	}
}

// readStream begins a stream, leaves it at a drawn event, and takes it up until it is complete.
func (t *taker) readStream(ctx context.Context) {
	model := imitator.SiteModel(t.random.IntN(t.soakRun.options.Models))
	first, seen, versions := "", 0, []string(nil)
	for try := 0; try <= maxTakeUps && seen < eventsPerStream && ctx.Err() == nil; try++ {
		m, address := t.chooseEntry()
		if m == nil {
			return
		}
		t.requestCount++
		id := fmt.Sprintf("%08x%08x", t.random.Uint32(), t.requestCount)
		sentAt, before := t.soakRun.clock(), seen
		header := []string{}
		if seen > 0 {
			header = []string{"Last-Event-Id", strconv.Itoa(seen), "Resumes", first}
		}
		seen = t.readEvents(ctx, address, id, model, seen, seen+1+t.random.IntN(eventsPerStream), &versions, header)
		switch {
		case before == 0:
			first = id
		default:
			t.soakRun.addTakeUp(takeUp{sentAt: sentAt, goesOn: seen > before})
		}
		if len(versions) > 1 {
			t.soakRun.results.addViolation("stream %s has events of versions %v, the last from request %s", first, versions, id)
			return
		}
		time.Sleep(time.Duration(20+t.random.IntN(200)) * time.Millisecond)
	}
}

// readEvents sends one request and reads its events until the stream ends or limit of them have been
// seen. It returns the number seen and adds the versions that wrote them.
func (t *taker) readEvents(ctx context.Context, address, id, model string, seen, limit int, versions *[]string, header []string) int {
	limited, cancel := context.WithTimeout(ctx, requestTimeout+answerSlack)
	defer cancel()
	req, err := imitator.NewModelRequest(limited, address, id, "/brief/x", model, header...)
	if err != nil {
		return seen
	}
	res, err := t.client.Do(req)
	if err != nil {
		return seen
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return seen
	}
	version := ""
	for lines := bufio.NewScanner(res.Body); lines.Scan() && seen < limit; {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case imitator.SoftwareField:
			version = value
		case "data":
			seen++
			if !slices.Contains(*versions, version) {
				*versions = append(*versions, version)
			}
		}
	}
	return seen
}

// addTakeUp records a request that took a stream up.
func (s *soakRun) addTakeUp(u takeUp) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.takeUps = append(s.takeUps, u)
}

// checkTakeUps checks that, of the streams taken up since a time, at least half as large a share goes on
// as has to be served of all requests.
func (s *soakRun) checkTakeUps(since time.Duration) {
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	taken, goesOn := 0, 0
	for _, u := range s.takeUps {
		if u.sentAt >= since {
			taken++
			if u.goesOn {
				goesOn++
			}
		}
	}
	if taken >= minTakeUps && float64(goesOn) < minServedRatio/2*float64(taken) {
		s.results.violations = append(s.results.violations, fmt.Sprintf("%d of %d streams went on that were taken up after the recovery", goesOn, taken))
	}
}

// killEntries kills all entries at once, in the middle of the faults.
func (s *soakRun) killEntries() {
	time.Sleep(time.Duration(*faultSeconds) * time.Second / 2)
	s.logFault("all entries are killed")
	var killed []func()
	for _, m := range s.entries {
		if f := s.processFaultFunc(m, restartDelay, syscall.SIGKILL); f != nil {
			killed = append(killed, f)
		}
	}
	done := make(chan struct{})
	for _, f := range killed {
		go func() {
			f()
			done <- struct{}{}
		}()
	}
	for range killed {
		<-done
	}
}
