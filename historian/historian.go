// Package historian reads the journal of test runs and shows how the value of the
// days that they played developed from round to round. A round is the set of runs
// with the same site and reason.
package historian

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// JournalEntry holds the parts of a journal entry that are used here. It describes one
// run.
type JournalEntry struct {
	// Times holds the start and the end of the run in RFC 3339 format. The end is empty
	// if the run was interrupted.
	Times []string `json:"at"`
	// Reason is the reason that was given for the run.
	Reason string `json:"why"`
	// Argv is the command line of the run.
	Argv []string `json:"argv"`
	Site string   `json:"site"`
	Days []Day    `json:"days"`
}

// Day is the result of one day that a run played.
type Day struct {
	// Name identifies the day. The names of undisturbed days begin with "quiet".
	Name string `json:"name"`
	// Value is the score of the day: the fraction earned of the maximum, minus costs.
	Value float64 `json:"G"`
	// BrokenRules holds the rules that were broken, by name.
	BrokenRules map[string]any `json:"rules"`
}

// startTime returns the start of the run, or false if it is missing or invalid.
func (e JournalEntry) startTime() (time.Time, bool) {
	if len(e.Times) == 0 {
		return time.Time{}, false
	}
	t, err := time.Parse(time.RFC3339, e.Times[0])
	return t, err == nil
}

// ignoresCPU reports whether the run did not count CPU time.
func (e JournalEntry) ignoresCPU() bool { return slices.Contains(e.Argv, "--no-cpu") }

// Round summarizes the runs at one site for one reason.
type Round struct {
	Site   string
	Reason string
	// IgnoresCPU is set if the runs did not count CPU time.
	IgnoresCPU bool
	// Started is the start of the first run.
	Started time.Time
	// DayValues maps the name of a day to its mean value.
	DayValues map[string]float64
	// PlayedDays is the number of days played, repetitions included.
	PlayedDays int
	// DaysWithBrokenRules is the number of those on which a rule was broken.
	DaysWithBrokenRules int
}

// FormatError reports a journal entry that cannot be read.
type FormatError struct {
	Path  string
	cause error
}

// Error returns a message with the path of the file and the cause.
func (e *FormatError) Error() string { return e.Path + " cannot be read: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *FormatError) Unwrap() error { return e.cause }

// Read returns the entries of all files named *.json in the directory of a
// journal. An entry that cannot be read is a *FormatError.
func Read(dir string) ([]JournalEntry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list the journal")
	}
	var entries []JournalEntry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &FormatError{Path: path, cause: err}
		}
		var e JournalEntry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, &FormatError{Path: path, cause: err}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Rounds groups entries by site, reason and whether they count CPU time. The
// rounds are sorted by site and start. Rounds with fewer than minDays different
// days are omitted, and so are entries without a start or a site.
func Rounds(entries []JournalEntry, minDays int) []Round {
	type key struct {
		site, reason string
		ignoresCPU   bool
	}
	byKey := map[key]*Round{}
	counts := map[key]map[string]int{}
	for _, e := range entries {
		started, ok := e.startTime()
		if !ok || e.Site == "" {
			continue
		}
		k := key{e.Site, e.Reason, e.ignoresCPU()}
		r := byKey[k]
		if r == nil {
			r = &Round{Site: e.Site, Reason: e.Reason, IgnoresCPU: k.ignoresCPU, Started: started, DayValues: map[string]float64{}}
			byKey[k], counts[k] = r, map[string]int{}
		}
		for _, d := range e.Days {
			n := counts[k][d.Name]
			r.DayValues[d.Name] = (r.DayValues[d.Name]*float64(n) + d.Value) / float64(n+1)
			counts[k][d.Name]++
			r.PlayedDays++
			if len(d.BrokenRules) > 0 {
				r.DaysWithBrokenRules++
			}
		}
		if started.Before(r.Started) {
			r.Started = started
		}
	}
	var rounds []Round
	for _, r := range byKey {
		if len(r.DayValues) >= minDays {
			rounds = append(rounds, *r)
		}
	}
	slices.SortFunc(rounds, func(a, b Round) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), a.Started.Compare(b.Started), cmp.Compare(a.Reason, b.Reason))
	})
	return rounds
}

// Mean returns the mean value of the quiet days, or of the other days if quiet is
// not set, and false if the round has none of these.
func (r Round) Mean(quiet bool) (float64, bool) {
	sum, n := 0.0, 0
	for name, value := range r.DayValues {
		if strings.HasPrefix(name, "quiet") == quiet {
			sum += value
			n++
		}
	}
	return sum / float64(max(1, n)), n > 0
}

// Print writes the rounds as a table.
func Print(w io.Writer, rounds []Round) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\truns\tbroken\tquiet\twith trouble\tprocessor time\twhy")
	for _, r := range rounds {
		quiet, _ := r.Mean(true)
		disturbed, _ := r.Mean(false)
		cpu := "counted"
		if r.IgnoresCPU {
			cpu = "free"
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%s\t%s\n", r.Site, r.PlayedDays, r.DaysWithBrokenRules, quiet, disturbed, cpu, r.Reason)
	}
	return eris.Wrap(t.Flush(), "write the rounds")
}
