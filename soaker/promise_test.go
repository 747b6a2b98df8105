package soaker

import (
	"fmt"
	"net/http"
	"slices"

	"oleanderstall/imitator"
)

// served is what the backend servers did with the requests, by request ID.
type served struct {
	runs    map[string]int
	answers map[string]imitator.AnswerRecord
}

// newServed adds up what backend servers did.
func newServed(backends []*imitator.Backend) served {
	d := served{runs: map[string]int{}, answers: map[string]imitator.AnswerRecord{}}
	for _, b := range backends {
		for id, n := range b.Runs() {
			d.runs[id] += n
		}
		for id, answer := range b.Answers() {
			sum := d.answers[id]
			sum.Statuses = append(sum.Statuses, answer.Statuses...)
			sum.ShortEnds = append(sum.ShortEnds, answer.ShortEnds...)
			sum.Bodies = append(sum.Bodies, answer.Bodies...)
			d.answers[id] = sum
		}
	}
	return d
}

// outcomeChecks are the promises that each outcome is checked against. A check returns what
// violates its promise, or an empty text.
var outcomeChecks = []func(o *outcome, d served) string{checkStreamEnd, checkStatusKept, checkNotRun, checkRunOnce, checkAttempts, checkBody}

// checkOutcomes checks all outcomes against all promises.
func (s *soakRun) checkOutcomes() {
	d := newServed(s.backends())
	for _, o := range s.results.outcomes {
		for _, check := range outcomeChecks {
			if text := check(&o, d); text != "" {
				o.violate(&s.results, text)
			}
		}
	}
}

// checkStreamEnd checks that a stream looks complete only after its last event, or where a
// running engine ended it. That holds also for one that ends with its connection, and if the
// entry is killed.
func checkStreamEnd(o *outcome, d served) string {
	if !o.stream || !o.complete || o.events == eventsPerStream {
		return ""
	}
	if slices.Contains(d.answers[o.id].ShortEnds, o.events) {
		return ""
	}
	return "the stream ends as complete"
}

// checkStatusKept checks that a failure with a seal has the status that a server gave.
func checkStatusKept(o *outcome, d served) string {
	if !o.sealed || o.status == http.StatusOK || slices.Contains(d.answers[o.id].Statuses, o.status) {
		return ""
	}
	return fmt.Sprintf("no server gave this status but %v", d.answers[o.id].Statuses)
}

// checkNotRun checks that a request whose answer promises so did not run, and did not later.
func checkNotRun(o *outcome, d served) string {
	promises := o.notExecuted || slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, o.status)
	if promises && d.runs[o.id] > 0 {
		return "the request ran"
	}
	return ""
}

// checkRunOnce checks that a request that is not idempotent ran once at most.
func checkRunOnce(o *outcome, d served) string {
	if (o.kind == "order" || o.kind == "draft") && d.runs[o.id] > 1 {
		return fmt.Sprintf("the request ran %d times", d.runs[o.id])
	}
	return ""
}

// checkAttempts checks that a request ran at no more servers than its route allows.
func checkAttempts(o *outcome, d served) string {
	if d.runs[o.id] > maxAttempts {
		return fmt.Sprintf("the request ran %d times, %d allowed", d.runs[o.id], maxAttempts)
	}
	return ""
}

// checkBody checks that servers received the body that the caller sent.
func checkBody(o *outcome, d served) string {
	for _, hash := range d.answers[o.id].Bodies {
		if hash != imitator.HashBody(o.request.body) {
			return "a server received another body"
		}
	}
	return ""
}

// checkAddedService checks that a service that was added during the faults is used.
func (s *soakRun) checkAddedService() {
	if added := s.site.Services[len(s.site.Services)-1]; len(added.Runs()) == 0 {
		s.results.addViolation("a service that was added beside an odd row was not found")
	}
}

// checkProcesses checks that no process has ended by itself.
func (s *soakRun) checkProcesses() {
	for _, m := range s.members() {
		if m.ended() {
			s.results.addViolation("%s ended by itself", m.name)
		}
	}
}
