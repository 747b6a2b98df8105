// Package narrator tells the story of one request from the logs of all processes.
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

// Limits of a story.
const (
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// before is how long before a request what concerns it may have happened.
	before = 2 * time.Second
)

// Field is a name of a log line with its value.
type Field struct {
	Name  string
	Value string
}

// Line is a line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   []Field
}

// UnknownError reports an id that no line has.
type UnknownError struct {
	ID string
}

// Error names the id.
func (e *UnknownError) Error() string { return "no log line has the id " + e.ID }

// Read returns the lines of a log. What stands before the first brace of a line is
// passed over, and so are lines that are not of this log.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// parse reads a line and reports whether it is of this log.
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

// Get returns the value of a field, or "" if the line lacks it.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// has reports whether a field has that value.
func (l Line) has(value string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == value })
}

// subject is what the lines of an id concern.
type subject struct {
	from, until time.Time
	instances   map[string]bool
	// names are the servers and the models.
	names map[string]bool
}

// Story returns the lines of an id by time, with those on its servers, its model
// and the beliefs of its processes meanwhile.
func Story(lines []Line, id string) ([]Line, error) {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !l.has(id) })
	if len(own) == 0 {
		return nil, &UnknownError{ID: id}
	}
	s := concern(own)
	story := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !l.has(id) && !s.meets(l) })
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

// concern gathers what lines concern.
func concern(own []Line) subject {
	s := subject{instances: map[string]bool{}, names: map[string]bool{}}
	for _, l := range own {
		begun := l.Time
		if took, err := time.ParseDuration(l.Get("took") + "ms"); err == nil {
			begun = begun.Add(-took)
		}
		if s.from.IsZero() || begun.Before(s.from) {
			s.from = begun
		}
		if l.Time.After(s.until) {
			s.until = l.Time
		}
		s.instances[l.Instance] = true
		for _, name := range []string{"server", "model", "adapter"} {
			if v := l.Get(name); v != "" {
				s.names[v] = true
			}
		}
	}
	s.from = s.from.Add(-before)
	return s
}

// meets reports whether a line that is not of the request bears on it.
func (s subject) meets(l Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.until) || l.Get("request") != "" {
		return false
	}
	part, _, _ := strings.Cut(l.Message, ":")
	switch part {
	case "want", "order", "server", "engine":
		return s.names[l.Get("server")] || s.names[l.Get("model")] || s.names[l.Get("for")]
	case "config", "store", "start", "stop", "limit", "log":
		return s.instances[l.Instance]
	case "sidecar":
		return s.instances[l.Instance] && s.names[l.Get("server")]
	}
	return false
}

// Print writes a story, with times from its first line.
func Print(w io.Writer, story []Line) error {
	for _, l := range story {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%s", f.Name, f.Value)
		}
		_, err := fmt.Fprintf(w, "%+8.3f s %s %s%s\n", l.Time.Sub(story[0].Time).Seconds(), l.Instance, l.Message, fields.String())
		if err != nil {
			return eris.Wrap(err, "write the story")
		}
	}
	return nil
}
