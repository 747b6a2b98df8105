package historian

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Entries of the journal.
const (
	quietEntry        = `{"at":["2026-01-01T00:00:00Z"],"why":"a","argv":["x"],"site":"s","days":[{"name":"quiet-1","G":0.7,"rules":{}}]}`
	laterQuietEntry   = `{"at":["2026-01-01T00:01:00Z"],"why":"a","argv":["x"],"site":"s","days":[{"name":"quiet-1","G":0.8,"rules":{}}]}`
	troubleEntry      = `{"at":["2026-01-01T00:02:00Z"],"why":"a","argv":["x"],"site":"s","days":[{"name":"trouble-1","G":0.4,"rules":{"LOST":1}}]}`
	uncountedCPUEntry = `{"at":["2026-01-01T00:03:00Z"],"why":"a","argv":["--no-cpu"],"site":"s","days":[{"name":"quiet-1","G":0.9}]}`
)

// writeJournal writes each entry to a file, named a.json, b.json and so on, and
// returns their directory.
func writeJournal(t *testing.T, entries ...string) string {
	dir := t.TempDir()
	for i, e := range entries {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".json"), []byte(e), 0o600))
	}
	return dir
}

// TestRounds checks that a round has the mean of the repetitions of a day, that
// runs with and without counted CPU time are in separate rounds, and that rounds
// can be printed and plotted.
func TestRounds(t *testing.T) {
	entries, err := Read(writeJournal(t, quietEntry, laterQuietEntry, troubleEntry, uncountedCPUEntry))
	assert.NilError(t, err)
	rounds := Rounds(entries, 1)
	assert.Equal(t, len(rounds), 2)
	quiet, ok := rounds[0].Mean(true)
	assert.Assert(t, ok)
	assert.Equal(t, quiet, 0.75)
	assert.Equal(t, rounds[0].DaysWithBrokenRules, 1)
	_, ok = rounds[1].Mean(false)
	assert.Assert(t, !ok)
	assert.Equal(t, len(Rounds(entries, 2)), 1)
	var out strings.Builder
	assert.NilError(t, Print(&out, rounds))
	assert.Assert(t, strings.Contains(out.String(), "0.750"), out.String())
	path := filepath.Join(t.TempDir(), "rounds.svg")
	assert.NilError(t, Plot(rounds, path))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), "<svg"))
}

// TestReadUnreadableEntry checks that the error for an entry that is not valid
// JSON names its file.
func TestReadUnreadableEntry(t *testing.T) {
	_, err := Read(writeJournal(t, quietEntry, "no"))
	var format *FormatError
	assert.Assert(t, errors.As(err, &format))
	assert.Equal(t, filepath.Base(format.Path), "b.json")
}
