package narrator

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  12.0000 entry-a {"time":"2026-03-24T14:15:12.000Z","level":"info","instance":"entry-a","model":"m","server":"s1","left":800,"message":"want"}
{"time":"2026-03-24T14:15:12.100Z","level":"info","instance":"side-1","server":"s1","op":"load","model":"m","outcome":"accepted","message":"order: sent"}
not a line of a log
{"time":"2026-03-24T14:15:12.100Z","level":"info","instance":"side-2","server":"s2","op":"load","model":"n","outcome":"accepted","message":"order: sent"}
{"time":"2026-03-24T14:15:12.300Z","level":"info","instance":"entry-a","request":"r2","server":"s1","model":"m","message":"send"}
{"time":"2026-03-24T14:15:13.000Z","level":"info","instance":"entry-a","request":"r1","model":"m","kind":"deadline_exceeded","took":1500,"cause":"the model cannot be there in time","message":"refused"}
{"time":"2026-03-24T14:15:12.900Z","level":"warn","instance":"entry-a","table":"op","message":"store: lost"}
{"time":"2026-03-24T14:15:12.900Z","level":"warn","instance":"entry-b","table":"op","message":"store: lost"}
{"time":"2026-03-24T14:15:14.000Z","level":"info","instance":"side-1","server":"s1","op":"load","model":"m","message":"order: complete"}
{"broken
`

// TestStory tells what concerns a request, by time, and nothing of others.
func TestStory(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 8)
	story, err := Story(lines, "r1")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Print(&out, story))
	assert.Equal(t, out.String(), `  +0.000 s entry-a want model=m server=s1 left=800
  +0.100 s side-1 order: sent server=s1 op=load model=m outcome=accepted
  +0.900 s entry-a store: lost table=op
  +1.000 s entry-a refused request=r1 model=m kind=deadline_exceeded took=1500 cause=the model cannot be there in time
`)
}

// TestStoryUnknown names an id that no line has.
func TestStoryUnknown(t *testing.T) {
	_, err := Story(nil, "r9")
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.ID, "r9")
}
