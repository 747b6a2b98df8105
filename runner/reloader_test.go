package runner

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"oleanderstall/checker"
	"oleanderstall/faker"
	"oleanderstall/logger"
	"oleanderstall/timer"
)

// hostedSettings returns the settings file of a hosted entry with a grace period.
func hostedSettings(grace string) string {
	return `{
  // comment
  "role": "entry", "name": "e", "centre": "c", "peer": "127.0.0.1:0",
  "hosted": {"store": "127.0.0.1:1", "ready": "127.0.0.1:0", "grace": "` + grace + `"},
  "entry": {"callers": "127.0.0.1:0"}
}`
}

// TestReload checks that the settings are read again on a signal and after a change of the
// file without one, are applied only if they have changed, and stay as they are if the file
// is not valid.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string, modified time.Time) {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.NilError(t, os.Chtimes(path, modified, modified))
	}
	start := time.Now().Add(-time.Hour)
	write(hostedSettings("8s"), start)
	current, err := checker.Read(path)
	assert.NilError(t, err)
	applied := make(chan *checker.Settings, 4)
	r := NewReloader(path, current, func(s *checker.Settings) { applied <- s }, errorLogger("test"))
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	go r.Run(ctx, signals)

	signals <- syscall.SIGHUP
	write(`{"role": "entry"`, start)
	signals <- syscall.SIGHUP
	write(hostedSettings("5s"), start)
	signals <- syscall.SIGHUP
	assert.Equal(t, time.Duration((<-applied).Hosted.GracePeriod), 5*time.Second)

	write(hostedSettings("6s"), start.Add(time.Second))
	assert.Equal(t, time.Duration((<-applied).Hosted.GracePeriod), 6*time.Second)
	cancel()
	<-r.Done()
	assert.Equal(t, len(applied), 0)
}

// errorLogger returns a logger that writes only errors, to standard error.
func errorLogger(name string) *log.Logger {
	return logger.New(logger.DefaultOptions("error"), name, os.Stderr, timer.Now).Log()
}

// TestReloadOtherRole guards against a process that ends because its settings file has become that
// of another kind of process, whose sections it lacks.
func TestReloadOtherRole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	current, err := checker.Check([]byte(hostedSettings("8s")), os.LookupEnv)
	assert.NilError(t, err)
	for _, text := range []string{
		`{"role":"sidecar","name":"e","centre":"c","peer":"127.0.0.1:0","hosted":{"store":"127.0.0.1:1"},"sidecar":{"kind":"engine","backend":"http://127.0.0.1:1","pool":"p"}}`,
		`{"role":"entry","name":"e","centre":"c","peer":"127.0.0.1:0","platform":"http://p","secret":"a long enough secret","entry":{"callers":"127.0.0.1:0"}}`,
	} {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := checker.Read(path)
		assert.NilError(t, err)
		applied := 0
		r := NewReloader(path, current, func(*checker.Settings) { applied++ }, faker.DiscardLogger())
		r.reload("test")
		assert.Equal(t, applied, 0)
		assert.Equal(t, r.current, current)
	}
}
