package runner

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
)

// settingsPeriod is between two looks at a settings file that may change without
// a signal.
const settingsPeriod = 2 * time.Second

// Reloader reads a settings file again when it has changed or a signal asks for
// it. A file that cannot be read leaves the settings before it in force.
type Reloader struct {
	path  string
	have  *checker.Settings
	at    time.Time
	apply func(*checker.Settings)
	log   *log.Logger
	done  chan struct{}
}

// NewReloader returns a reloader of the file from which have was read. It passes
// new settings to apply.
func NewReloader(path string, have *checker.Settings, apply func(*checker.Settings), l *log.Logger) *Reloader {
	r := &Reloader{path: path, have: have, apply: apply, log: l, done: make(chan struct{})}
	if info, err := os.Stat(path); err == nil {
		r.at = info.ModTime()
	}
	return r
}

// Done is closed when Run has returned.
func (r *Reloader) Done() <-chan struct{} { return r.done }

// Run watches the file until ctx ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	defer close(r.done)
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-tick.C:
			if r.changed() {
				r.reload("file")
			}
		}
	}
}

// changed reports whether the file was written since it was read.
func (r *Reloader) changed() bool {
	info, err := os.Stat(r.path)
	return err == nil && !info.ModTime().Equal(r.at)
}

// reload reads the file.
func (r *Reloader) reload(cause string) {
	if info, err := os.Stat(r.path); err == nil {
		r.at = info.ModTime()
	}
	next, err := checker.Read(r.path)
	if err != nil {
		r.log.Error().Str("cause", cause).Err(err).Msg("reload: unreadable settings, the ones before stay in force")
		return
	}
	if reflect.DeepEqual(next, r.have) {
		r.log.Info().Str("cause", cause).Msg("reload: nothing has changed")
		return
	}
	if fixed(next) != fixed(r.have) {
		r.log.Warn().Str("cause", cause).Msg("reload: names and addresses change with the next start only")
	}
	r.have = next
	r.log.SetLevel(log.ParseLevel(next.Log.Level))
	r.apply(next)
	r.log.Info().Str("cause", cause).Str("level", next.Log.Level).Msg("reload: settings in force")
}

// fixed is what a running process cannot change.
func fixed(s *checker.Settings) string {
	text := s.Role + " " + s.Name + " " + s.Centre + " " + s.Peer + " " + s.Admin + " " + s.Platform
	if s.Hosted != nil {
		text += " " + s.Hosted.Store + " " + s.Hosted.Ready
	}
	if s.Entry != nil {
		text += " " + s.Entry.Callers + " " + s.Entry.Operators
	}
	if s.Sidecar != nil {
		text += " " + s.Sidecar.Backend + " " + s.Sidecar.Pool
	}
	return text
}
