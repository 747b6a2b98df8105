package narrator

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// logs holds lines of several processes: of the request r1, of another request,
// related and unrelated events, a line with a prefix and two that aren't log lines.
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

// TestTimeline checks that the timeline of a request has its own and the related
// lines in the order of time, and no line of other requests, servers or instances.
func TestTimeline(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 8)
	timeline, err := Timeline(lines, "r1")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Print(&out, timeline))
	assert.Equal(t, out.String(), `  +0.000 s entry-a want model=m server=s1 left=800
  +0.100 s side-1 order: sent server=s1 op=load model=m outcome=accepted
  +0.900 s entry-a store: lost table=op
  +1.000 s entry-a refused request=r1 model=m kind=deadline_exceeded took=1500 cause=the model cannot be there in time
`)
}

// TestTimelineOfQuarantine checks that the timeline of a refused request names the part that is
// quarantined, since when, also if that was long before.
func TestTimelineOfQuarantine(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"time":"2026-03-24T14:10:00.000Z","level":"info","instance":"entry-a","pool":"p","part":"bad","crashes":3,"since":900,"message":"part: quarantined"}
{"time":"2026-03-24T14:10:00.000Z","level":"info","instance":"entry-b","pool":"p","part":"bad","crashes":3,"since":900,"message":"part: quarantined"}
{"time":"2026-03-24T14:10:01.000Z","level":"info","instance":"entry-a","pool":"p","part":"other","crashes":3,"since":900,"message":"part: quarantined"}
{"time":"2026-03-24T14:15:13.000Z","level":"info","instance":"entry-a","request":"r1","kind":"quarantined","parts":"a1,bad,77","message":"refused"}
`))
	assert.NilError(t, err)
	timeline, err := Timeline(lines, "r1")
	assert.NilError(t, err)
	assert.Equal(t, len(timeline), 2)
	assert.Equal(t, timeline[0].Get("part"), "bad")
	assert.Equal(t, timeline[0].Instance, "entry-a")
}

// TestTimelineUnknownID checks the error for an ID that occurs in no line.
func TestTimelineUnknownID(t *testing.T) {
	_, err := Timeline(nil, "r9")
	var unknown *UnknownIDError
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.ID, "r9")
}
