// Package narrator builds the timeline of one request from the logs of all
// processes.
package narrator

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
)

// Limits of a timeline.
const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextBefore is how long before the start of a request an event is still
	// considered related to it.
	contextBefore = 2 * time.Second
)

// Field is a field of a log line, with its value as text.
type Field struct {
	Name  string
	Value string
}

// Line is a parsed line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields holds the other fields in the order of the line, without the level.
	Fields []Field
}

// UnknownIDError reports an ID that occurs in no log line.
type UnknownIDError struct {
	ID string
}

// Error returns a message with the ID.
func (e *UnknownIDError) Error() string { return "no log line has the id " + e.ID }

// Read returns the lines of a log. It ignores text before the first brace of a
// line and skips lines that are not in the system's log format. A line longer than
// 1 MiB ends the reading with an error.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 || !gjson.ValidBytes(s.Bytes()[i:]) {
			continue
		}
		if l, ok := parse(s.Text()[i:]); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrap(s.Err(), "read the log")
}

// parse parses the JSON of a line. It returns false if the line lacks a message or
// a valid time, and so isn't in the system's log format.
func parse(text string) (Line, bool) {
	var l Line
	var err error
	gjson.Parse(text).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "time":
			l.Time, err = time.Parse(time.RFC3339Nano, value.Str)
		case "instance":
			l.Instance = value.Str
		case "message":
			l.Message = value.Str
		case "level":
		default:
			l.Fields = append(l.Fields, Field{Name: key.Str, Value: value.String()})
		}
		return true
	})
	return l, err == nil && l.Message != "" && !l.Time.IsZero()
}

// Get returns the value of the field with that name, or "" if there is none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// hasValue reports whether any field has that value.
func (l Line) hasValue(value string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == value })
}

// scope is what a request involved: a period, instances and resources.
type scope struct {
	from, until time.Time
	instances   map[string]bool
	// resources holds the names of servers, models and adapters, and the IDs of the parts of
	// prompts.
	resources map[string]bool
}

// Timeline returns the lines that contain an ID and the related lines of the same
// period, sorted by time. Related are events of the request's servers, models and prompt parts,
// and changes of the state of the instances that handled it, such as their
// configuration and store. If no line contains the ID, it returns an
// *UnknownIDError.
func Timeline(lines []Line, id string) ([]Line, error) {
	matching := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !l.hasValue(id) })
	if len(matching) == 0 {
		return nil, &UnknownIDError{ID: id}
	}
	s := scopeOf(matching)
	timeline := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !l.hasValue(id) && !s.includes(l) })
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline, nil
}

// scopeOf returns the scope of the lines of a request. It begins contextBefore
// ahead of the request, whose start is the time of a line less its field took, in
// milliseconds.
func scopeOf(lines []Line) scope {
	s := scope{instances: map[string]bool{}, resources: map[string]bool{}}
	for _, l := range lines {
		started := l.Time
		if took, err := time.ParseDuration(l.Get("took") + "ms"); err == nil {
			started = started.Add(-took)
		}
		if s.from.IsZero() || started.Before(s.from) {
			s.from = started
		}
		if l.Time.After(s.until) {
			s.until = l.Time
		}
		s.instances[l.Instance] = true
		for _, name := range []string{"server", "model", "adapter", "whole"} {
			if v := l.Get(name); v != "" {
				s.resources[v] = true
			}
		}
		for _, part := range strings.Split(l.Get("parts"), ",") {
			s.resources[part] = part != ""
		}
	}
	s.from = s.from.Add(-contextBefore)
	return s
}

// includes reports whether a line that doesn't belong to any request is related to
// the scope. The component at the head of the message, before the colon, decides
// what must match.
func (s scope) includes(l Line) bool {
	component, _, _ := strings.Cut(l.Message, ":")
	// A quarantine concerns all later requests.
	if l.Time.Before(s.from) && component != "part" || l.Time.After(s.until) || l.Get("request") != "" {
		return false
	}
	switch component {
	case "want", "order", "server", "engine":
		return s.resources[l.Get("server")] || s.resources[l.Get("model")] || s.resources[l.Get("for")]
	case "config", "store", "start", "stop", "limit", "log":
		return s.instances[l.Instance]
	case "part":
		return s.instances[l.Instance] && s.resources[l.Get("part")]
	case "sidecar":
		return s.instances[l.Instance] && s.resources[l.Get("server")]
	}
	return false
}

// Print writes the lines of a timeline with their times in seconds since the first
// line.
func Print(w io.Writer, timeline []Line) error {
	for _, l := range timeline {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%s", f.Name, f.Value)
		}
		_, err := fmt.Fprintf(w, "%+8.3f s %s %s%s\n", l.Time.Sub(timeline[0].Time).Seconds(), l.Instance, l.Message, fields.String())
		if err != nil {
			return eris.Wrap(err, "write the timeline")
		}
	}
	return nil
}
