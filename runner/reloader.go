package runner

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/checker"
)

// settingsPollInterval is the time between two checks whether the settings file has
// changed.
const settingsPollInterval = 2 * time.Second

// Reloader reads a settings file again when it has changed or a signal requests it. If
// the file cannot be read or is not valid, the previous settings stay in force.
type Reloader struct {
	path    string
	current *checker.Settings
	// modified is the modification time of the file when it was last read.
	modified time.Time
	apply    func(*checker.Settings)
	log      *log.Logger
	done     chan struct{}
}

// NewReloader returns a reloader of the file from which current was read. It passes
// changed settings to apply and sets the level of l.
func NewReloader(path string, current *checker.Settings, apply func(*checker.Settings), l *log.Logger) *Reloader {
	r := &Reloader{path: path, current: current, apply: apply, log: l, done: make(chan struct{})}
	if info, err := os.Stat(path); err == nil {
		r.modified = info.ModTime()
	}
	return r
}

// Done returns a channel that is closed when Run has returned.
func (r *Reloader) Done() <-chan struct{} { return r.done }

// Run reloads the settings when the file has changed or a signal arrives, until ctx ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	defer close(r.done)
	tick := time.NewTicker(settingsPollInterval)
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

// changed reports whether the file's modification time differs from that of the last
// read.
func (r *Reloader) changed() bool {
	info, err := os.Stat(r.path)
	return err == nil && !info.ModTime().Equal(r.modified)
}

// reload reads the file and applies the settings if they have changed. The cause is
// logged.
func (r *Reloader) reload(cause string) {
	if info, err := os.Stat(r.path); err == nil {
		r.modified = info.ModTime()
	}
	loaded, err := checker.Read(r.path)
	if err != nil {
		r.log.Error().Str("cause", cause).Err(err).Msg("reload: settings cannot be read, the previous ones stay in force")
		return
	}
	if reflect.DeepEqual(loaded, r.current) {
		r.log.Info().Str("cause", cause).Msg("reload: settings unchanged")
		return
	}
	if !sameSections(loaded, r.current) {
		r.log.Error().Str("cause", cause).Msg("reload: settings of another kind of process, the previous ones stay in force")
		return
	}
	if fixedSettings(loaded) != fixedSettings(r.current) {
		r.log.Warn().Str("cause", cause).Msg("reload: changed names and addresses take effect only after a restart")
	}
	r.current = loaded
	r.log.SetLevel(log.ParseLevel(loaded.Log.Level))
	r.apply(loaded)
	r.log.Info().Str("cause", cause).Str("level", loaded.Log.Level).Msg("reload: settings in force")
}

// sameSections reports whether two settings are for the same kind of process, so that they have
// the same sections.
func sameSections(a, b *checker.Settings) bool {
	return a.Role == b.Role && (a.Hosted == nil) == (b.Hosted == nil)
}

// fixedSettings returns the settings that take effect only after a restart, joined into one
// text that can be compared with that of other settings.
func fixedSettings(s *checker.Settings) string {
	text := s.Role + " " + s.Name + " " + s.Centre + " " + s.PeerAddress + " " + s.AdminAddress + " " + s.PlatformURL
	if s.Hosted != nil {
		text += " " + s.Hosted.StoreAddress + " " + s.Hosted.ReadinessAddress
	}
	if s.Entry != nil {
		text += " " + s.Entry.CallerAddress + " " + s.Entry.OperatorAddress
	}
	if s.Sidecar != nil {
		text += " " + s.Sidecar.BackendURL + " " + s.Sidecar.Pool
	}
	return text
}
