// Package historian reads the journal of the runs that were played and shows how the
// worth of the days went from round to round.
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

// Entry is what is used of an entry of the journal.
type Entry struct {
	// At holds the begin and the end of the run, which is empty if the run was cut
	// off.
	At   []string `json:"at"`
	Why  string   `json:"why"`
	Argv []string `json:"argv"`
	Site string   `json:"site"`
	Days []Day    `json:"days"`
}

// Day is a day that was played.
type Day struct {
	Name string `json:"name"`
	// Worth is what was earned as a part of all that was owed, less prices.
	Worth float64 `json:"G"`
	// Rules are the rules that were broken.
	Rules map[string]any `json:"rules"`
}

// begun is the begin of the run, and false if it is not known.
func (e Entry) begun() (time.Time, bool) {
	if len(e.At) == 0 {
		return time.Time{}, false
	}
	t, err := time.Parse(time.RFC3339, e.At[0])
	return t, err == nil
}

// free reports whether processor time was not counted.
func (e Entry) free() bool { return slices.Contains(e.Argv, "--no-cpu") }

// Round is the mean worth of the days of one reason at one site.
type Round struct {
	Site string
	Why  string
	// Free is set if processor time was not counted.
	Free  bool
	Begun time.Time
	// Days holds the mean worth by name of the day.
	Days   map[string]float64
	Runs   int
	Broken int
}

// FormatError reports a journal entry that cannot be read.
type FormatError struct {
	Path  string
	cause error
}

// Error names the file.
func (e *FormatError) Error() string { return e.Path + " cannot be read: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.cause }

// Read returns the entries of a journal's directory.
func Read(dir string) ([]Entry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "list the journal")
	}
	var entries []Entry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &FormatError{Path: path, cause: err}
		}
		var e Entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, &FormatError{Path: path, cause: err}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Rounds groups entries by site, reason and kind of run, by time. Rounds of fewer
// than least different days are left out.
func Rounds(entries []Entry, least int) []Round {
	type key struct {
		site, why string
		free      bool
	}
	found := map[key]*Round{}
	counts := map[key]map[string]int{}
	for _, e := range entries {
		begun, ok := e.begun()
		if !ok || e.Site == "" {
			continue
		}
		k := key{e.Site, e.Why, e.free()}
		r := found[k]
		if r == nil {
			r = &Round{Site: e.Site, Why: e.Why, Free: k.free, Begun: begun, Days: map[string]float64{}}
			found[k], counts[k] = r, map[string]int{}
		}
		for _, d := range e.Days {
			n := counts[k][d.Name]
			r.Days[d.Name] = (r.Days[d.Name]*float64(n) + d.Worth) / float64(n+1)
			counts[k][d.Name]++
			r.Runs++
			if len(d.Rules) > 0 {
				r.Broken++
			}
		}
		if begun.Before(r.Begun) {
			r.Begun = begun
		}
	}
	var rounds []Round
	for _, r := range found {
		if len(r.Days) >= least {
			rounds = append(rounds, *r)
		}
	}
	slices.SortFunc(rounds, func(a, b Round) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), a.Begun.Compare(b.Begun), cmp.Compare(a.Why, b.Why))
	})
	return rounds
}

// Mean returns the mean worth of the quiet days, or of the others, and false if the
// round has none.
func (r Round) Mean(quiet bool) (float64, bool) {
	sum, n := 0.0, 0
	for name, worth := range r.Days {
		if strings.HasPrefix(name, "quiet") == quiet {
			sum += worth
			n++
		}
	}
	return sum / float64(max(1, n)), n > 0
}

// Print writes a table of rounds.
func Print(w io.Writer, rounds []Round) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\truns\tbroken\tquiet\twith trouble\tprocessor time\twhy")
	for _, r := range rounds {
		quiet, _ := r.Mean(true)
		trouble, _ := r.Mean(false)
		counted := "counted"
		if r.Free {
			counted = "free"
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t%s\t%s\n", r.Site, r.Runs, r.Broken, quiet, trouble, counted, r.Why)
	}
	return eris.Wrap(t.Flush(), "write the rounds")
}
