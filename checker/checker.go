// Package checker reads and checks a process's settings.
//
// A settings file is JSON with comments. Check reports every fault at once, each
// with its line and field; an unknown field is a fault. A secret may be written
// as "env:NAME" to be taken from the environment.
package checker

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Span is a duration written as text, such as "250ms" or "6s".
type Span time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Span) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "duration")
	}
	d, err := time.ParseDuration(text)
	*s = Span(d)
	return eris.Wrap(err, "duration")
}

// MarshalJSON implements json.Marshaler.
func (s Span) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// Secret is a text that neither logs nor dumps show.
type Secret string

// MarshalJSON hides the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"hidden"`), nil }

// String hides the secret.
func (s Secret) String() string { return "hidden" }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Settings are one process's settings.
type Settings struct {
	// Role is "entry" or "sidecar".
	Role string `json:"role"`
	// Name is the instance's name, unique in the fleet.
	Name string `json:"name"`
	// Centre is the data centre.
	Centre string `json:"centre"`
	// Peer is the IP:port to listen on for other processes, by UDP.
	Peer string `json:"peer"`
	// Admin is the IP:port of metrics and health, or empty for none.
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Secret is shared by all processes of the fleet.
	Secret Secret `json:"secret"`
	// Lease is the lease time of a shard; the same in the whole fleet.
	Lease Span `json:"lease"`
	// Shards is the number of shards; the same in the whole fleet.
	Shards uint32 `json:"shards"`
	Log    Log    `json:"log"`
	// Hosted is given on a platform that keeps the configuration, lists the
	// backend servers and lets the processes find each other.
	Hosted  *Hosted  `json:"hosted"`
	Entry   *Entry   `json:"entry"`
	Sidecar *Sidecar `json:"sidecar"`
}

// Hosted are the settings of a process on such a platform.
type Hosted struct {
	// Store is the IP:port of the platform's store.
	Store string `json:"store"`
	// Ready is the IP:port on which the platform asks whether an entry is ready.
	Ready string `json:"ready"`
	// Memory is the most memory of the process, in megabytes, or 0 for no limit.
	Memory float64 `json:"memory"`
	// Grace is the time between the notice to stop and the end of the process.
	Grace Span `json:"grace"`
	// Lease is the time in which two instances may not order the same engine.
	Lease Span `json:"lease"`
	// Window is the length of the windows over which the workspaces' limits hold, or
	// 0 if they hold over any.
	Window Span `json:"window"`
	// Slack are the tokens of a workspace that all entries together may use beyond
	// its limit because they have not told each other yet.
	Slack float64 `json:"slack"`
	// Retries bounds the retries of all entries together.
	Retries Retries `json:"retries"`
}

// Retries are the bounds of the retries to a pool.
type Retries struct {
	// Ratio is the part of the requests to the pool that may be retried.
	Ratio float64 `json:"ratio"`
	// Slack is the number of retries beyond that.
	Slack float64 `json:"slack"`
}

// Log sets what is logged.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Entry are the settings of an entry instance.
type Entry struct {
	// Callers is the IP:port for callers.
	Callers string `json:"callers"`
	// Operators is the IP:port for operators.
	Operators string `json:"operators"`
	// Certificate and Key are PEM files; both empty means plain HTTP behind a
	// balancer that ends TLS.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Accounts are the operators.
	Accounts []Account `json:"accounts"`
	// Body is the largest request body, in bytes.
	Body int64 `json:"body"`
	// Deadline is the time for a request that names none; Longest bounds it.
	Deadline Span `json:"deadline"`
	Longest  Span `json:"longest"`
	// Grace is the time between the notice to the balancer and the end of the
	// listener.
	Grace Span `json:"grace"`
	// Output is the output limit for a request that names none, in tokens.
	Output uint32 `json:"output"`
	// Fresh is the longest time without proof that the configuration is the
	// newest, after which keyed requests are refused.
	Fresh Span `json:"fresh"`
}

// Account is one operator.
type Account struct {
	Name string `json:"name"`
	// Token is what the operator presents.
	Token Secret `json:"token"`
}

// Sidecar are the settings of a sidecar.
type Sidecar struct {
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// Backend is the base URL of the backend server.
	Backend string `json:"backend"`
	// Pool names the pool that the backend server belongs to.
	Pool string `json:"pool"`
	// Concurrency is the most requests at the backend server at once.
	Concurrency int `json:"concurrency"`
	// Queue is the most requests waiting for it.
	Queue int `json:"queue"`
	// Flight is the longest time that an order may be on its way.
	Flight Span `json:"flight"`
}

// Fault is one wrong field.
type Fault struct {
	Line  int
	Field string
	Text  string
}

// String formats the fault as line, field and text; one of the whole file has no field.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// SettingsError lists every fault of a settings file.
type SettingsError struct {
	faults []Fault
}

// Error lists the faults, one a line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Faults returns the faults in the order of the file.
func (e *SettingsError) Faults() []Fault { return e.faults }

// maxSize is the size of the largest settings file, in bytes.
const maxSize = 1 << 20

// Read reads and checks the settings file at path.
func Read(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Check(data, os.LookupEnv)
}

// Check parses settings and fills in defaults. Faults come back together in a
// SettingsError. Secrets of the form env:NAME are looked up with env.
func Check(data []byte, env func(string) (string, bool)) (*Settings, error) {
	f := &finder{data: data, lines: map[string]int{}, wrong: map[string]bool{}}
	if len(data) > maxSize {
		f.add(1, "", fmt.Sprintf("the file is larger than %d bytes", maxSize))
		return nil, f.failure()
	}
	root, err := hujson.Parse(data)
	if err != nil {
		f.add(syntax(err))
		return nil, f.failure()
	}
	s := defaults()
	f.walk(&root, "", settingsType)
	f.decode(root, s)
	f.verify(s, env)
	if err := f.failure(); err != nil {
		return nil, err
	}
	return s, nil
}

// syntax returns the fault of a file that is no JSON with comments.
func syntax(err error) (line int, field, text string) {
	line, column := 1, 0
	text = err.Error()
	if _, scan := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scan == nil {
		_, text, _ = strings.Cut(text, ": line ")
		_, text, _ = strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, text)
	}
	return line, "", text
}

// Default values.
func defaults() *Settings {
	return &Settings{
		Lease:  Span(6 * time.Second),
		Shards: 16,
		Log:    Log{Level: "info"},
	}
}

func (f *finder) decode(root hujson.Value, s *Settings) {
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), s); err != nil {
		f.add(1, "", err.Error())
	}
	if s.Entry != nil {
		e := s.Entry
		fill(&e.Body, 1<<20)
		fill(&e.Deadline, Span(time.Minute))
		fill(&e.Longest, Span(10*time.Minute))
		fill(&e.Output, 512)
		fill(&e.Grace, Span(2*time.Second))
		fill(&e.Fresh, Span(3*time.Second))
	}
	if s.Hosted != nil {
		fill(&s.Hosted.Grace, Span(8*time.Second))
		fill(&s.Hosted.Lease, Span(3*time.Second))
		fill(&s.Hosted.Retries, Retries{Ratio: 0.2, Slack: 20})
	}
	if s.Sidecar != nil {
		c := s.Sidecar
		fill(&c.Concurrency, 32)
		fill(&c.Queue, 256)
		fill(&c.Flight, Span(2*time.Second))
	}
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// verify checks the meaning of the fields.
func (f *finder) verify(s *Settings, env func(string) (string, bool)) {
	f.oneOf("role", s.Role, "entry", "sidecar")
	f.present("name", s.Name)
	f.present("centre", s.Centre)
	f.address("peer", s.Peer, true)
	f.address("admin", s.Admin, false)
	if s.Hosted != nil {
		f.hosted(s.Hosted)
	} else {
		f.link("platform", s.Platform)
		f.secret("secret", &s.Secret, env)
	}
	f.atLeast("lease", time.Duration(s.Lease), time.Second)
	if s.Shards == 0 || s.Shards > 4096 {
		f.fault("shards", "must be from 1 to 4096")
	}
	f.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	f.roles(s, env)
}

func (f *finder) roles(s *Settings, env func(string) (string, bool)) {
	known := s.Role == "entry" || s.Role == "sidecar"
	if known && (s.Role == "entry") != (s.Entry != nil) {
		f.fault("entry", "must be given for the role entry and only for it")
	}
	if known && (s.Role == "sidecar") != (s.Sidecar != nil) {
		f.fault("sidecar", "must be given for the role sidecar and only for it")
	}
	if s.Entry != nil {
		f.entry(s.Entry, env)
	}
	if s.Sidecar != nil {
		f.sidecar(s.Sidecar)
	}
}

func (f *finder) hosted(h *Hosted) {
	f.address("hosted.store", h.Store, true)
	f.address("hosted.ready", h.Ready, false)
	if h.Memory < 0 {
		f.fault("hosted.memory", "must not be negative")
	}
	if h.Slack < 0 {
		f.fault("hosted.slack", "must not be negative")
	}
	if h.Retries.Ratio < 0 {
		f.fault("hosted.retries.ratio", "must not be negative")
	}
	if h.Retries.Slack < 0 {
		f.fault("hosted.retries.slack", "must not be negative")
	}
	f.atLeast("hosted.grace", time.Duration(h.Grace), time.Second)
}

func (f *finder) entry(e *Entry, env func(string) (string, bool)) {
	f.address("entry.callers", e.Callers, true)
	f.address("entry.operators", e.Operators, false)
	if (e.Certificate == "") != (e.Key == "") {
		f.fault("entry.key", "certificate and key go together")
	}
	for i := range e.Accounts {
		field := fmt.Sprintf("entry.accounts[%d]", i)
		f.present(field+".name", e.Accounts[i].Name)
		f.secret(field+".token", &e.Accounts[i].Token, env)
	}
	if e.Body < 1024 {
		f.fault("entry.body", "must be at least 1024 bytes")
	}
	f.atLeast("entry.deadline", time.Duration(e.Deadline), time.Millisecond)
	f.atLeast("entry.longest", time.Duration(e.Longest), time.Duration(e.Deadline))
	f.atLeast("entry.fresh", time.Duration(e.Fresh), 500*time.Millisecond)
}

func (f *finder) sidecar(c *Sidecar) {
	f.oneOf("sidecar.kind", c.Kind, "engine", "service")
	f.link("sidecar.backend", c.Backend)
	f.present("sidecar.pool", c.Pool)
	if c.Concurrency < 1 {
		f.fault("sidecar.concurrency", "must be at least 1")
	}
	if c.Queue < 1 {
		f.fault("sidecar.queue", "must be at least 1")
	}
}

func (f *finder) present(field, value string) {
	if value == "" {
		f.fault(field, "is missing")
	}
}

func (f *finder) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.fault(field, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", ")))
}

func (f *finder) atLeast(field string, value, least time.Duration) {
	if value < least {
		f.fault(field, fmt.Sprintf("%v is below %v", value, least))
	}
}

func (f *finder) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.fault(field, fmt.Sprintf("%q is not an IP number and a port", value))
	}
}

func (f *finder) link(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		f.fault(field, fmt.Sprintf("%q is not an http or https URL", value))
	}
}

// minSecret is the shortest secret, in bytes.
const minSecret = 16

func (f *finder) secret(field string, s *Secret, env func(string) (string, bool)) {
	if name, ok := strings.CutPrefix(string(*s), "env:"); ok {
		value, found := env(name)
		if !found {
			f.fault(field, "environment variable "+name+" is not set")
			return
		}
		*s = Secret(value)
	}
	if len(*s) < minSecret {
		f.fault(field, fmt.Sprintf("must have at least %d bytes", minSecret))
	}
}
