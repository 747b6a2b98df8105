// Package checker reads and validates the settings of a process.
//
// A settings file is JSON with comments. Check reports all faults together, each
// with its line and field; an unknown field is a fault. A secret may be written
// as "env:NAME", which takes it from the environment variable NAME.
package checker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Duration is a duration that is written as a string in JSON, such as "250ms" or "6s".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "duration")
	}
	d, err := time.ParseDuration(text)
	*s = Duration(d)
	return eris.Wrap(err, "duration")
}

// MarshalJSON implements json.Marshaler.
func (s Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// Secret is a string that is hidden when it is printed or written as JSON.
type Secret string

// MarshalJSON returns "hidden" in place of the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"hidden"`), nil }

// String returns "hidden" in place of the secret.
func (s Secret) String() string { return "hidden" }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Settings are the settings of one process.
type Settings struct {
	// Role is "entry" or "sidecar".
	Role string `json:"role"`
	// Name is the instance's name, unique in the fleet.
	Name string `json:"name"`
	// Centre is the data centre.
	Centre string `json:"centre"`
	// PeerAddress is the IP:port to listen on for other processes of the fleet, over UDP.
	PeerAddress string `json:"peer"`
	// AdminAddress is the IP:port to listen on for metrics and health checks, or empty for none.
	AdminAddress string `json:"admin"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `json:"platform"`
	// Secret is the secret that all processes of the fleet share.
	Secret Secret `json:"secret"`
	// ShardLease is the lease time of a shard. It must be the same in the whole fleet.
	ShardLease Duration `json:"lease"`
	// ShardCount is the number of shards. It must be the same in the whole fleet.
	ShardCount uint32 `json:"shards"`
	// Log holds the settings of the log.
	Log Log `json:"log"`
	// Hosted is set on a platform that stores the configuration, lists the backend
	// servers and lets the processes find each other. PlatformURL and Secret are not
	// used then.
	Hosted *Hosted `json:"hosted"`
	// Entry is set for the role "entry" only.
	Entry *Entry `json:"entry"`
	// Sidecar is set for the role "sidecar" only.
	Sidecar *Sidecar `json:"sidecar"`
}

// Hosted are the settings of a process on a platform that hosts it.
type Hosted struct {
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store"`
	// ReadinessAddress is the IP:port to listen on for the platform's readiness checks of an entry.
	ReadinessAddress string `json:"ready"`
	// MaxMemoryMB is the upper bound of the process's memory, in megabytes, or 0 for none.
	MaxMemoryMB float64 `json:"memory"`
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod Duration `json:"grace"`
	// EngineLease is the lease time of an engine. No other instance may send it orders
	// meanwhile.
	EngineLease Duration `json:"lease"`
	// LimitWindow is the length of the windows over which the workspaces' limits hold, or
	// 0 if they hold over windows of any length.
	LimitWindow Duration `json:"window"`
	// TokenSlack is the number of tokens by which all entries together may exceed the limit
	// of a workspace because their usage has not been reported to each other yet.
	TokenSlack float64 `json:"slack"`
	// Retries bounds the retries of all entries together.
	Retries RetryLimits `json:"retries"`
	// Contracts names the parts of the platform's rules that are in force.
	Contracts []string `json:"contracts"`
	// ColdOver is how many times its rate a cold server may be sent within any second, or 0 for
	// the default.
	ColdOver float64 `json:"cold_over"`
	// Zones are the regions of the data centres, by data centre.
	Zones map[string]string `json:"zones"`
}

// RetryLimits bounds the retries of requests to a pool.
type RetryLimits struct {
	// Ratio is the share of the requests to the pool that may be retried.
	Ratio float64 `json:"ratio"`
	// Burst is the number of retries that are allowed beyond that share.
	Burst float64 `json:"slack"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Entry are the settings of an entry instance.
type Entry struct {
	// CallerAddress is the IP:port to listen on for callers.
	CallerAddress string `json:"callers"`
	// OperatorAddress is the IP:port to listen on for operators, or empty for none.
	OperatorAddress string `json:"operators"`
	// CertificateFile is the path of a PEM file. Without one, the entry serves plain HTTP
	// and a load balancer has to terminate TLS.
	CertificateFile string `json:"certificate"`
	// KeyFile is the path of the PEM file with the certificate's private key.
	KeyFile string `json:"key"`
	// Accounts are the operators that may use the operator API.
	Accounts []Account `json:"accounts"`
	// MaxBodyBytes is the size of the largest request body, in bytes.
	MaxBodyBytes int64 `json:"body"`
	// DefaultTimeout is the time to answer a request that sets no deadline.
	DefaultTimeout Duration `json:"deadline"`
	// MaxTimeout is the upper bound of the time that a request may set.
	MaxTimeout Duration `json:"longest"`
	// ShutdownDelay is the time between the notice to the load balancer and the end of the
	// listener.
	ShutdownDelay Duration `json:"grace"`
	// DefaultOutputTokens is the output limit of requests that set none, in tokens.
	DefaultOutputTokens uint32 `json:"output"`
	// MaxConfigurationAge is the longest time since the configuration was last
	// proven to be the newest. Beyond it, requests with a key are refused.
	MaxConfigurationAge Duration `json:"fresh"`
}

// Account is the account of one operator.
type Account struct {
	Name string `json:"name"`
	// Token is the bearer token that the operator presents.
	Token Secret `json:"token"`
}

// Sidecar are the settings of a sidecar.
type Sidecar struct {
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// BackendURL is the base URL of the backend server.
	BackendURL string `json:"backend"`
	// Pool is the name of the backend server's pool.
	Pool string `json:"pool"`
	// Concurrency is the upper bound of requests in flight at the backend server.
	Concurrency int `json:"concurrency"`
	// QueueLimit is the upper bound of requests that wait for the backend server.
	QueueLimit int `json:"queue"`
	// MaxOrderTransit is the longest time that an order may be on its way to the engine.
	MaxOrderTransit Duration `json:"flight"`
}

// Fault is one wrong field of a settings file. Field is empty if the whole file is wrong.
type Fault struct {
	Line  int
	Field string
	Text  string
}

// String formats the fault as line, field and text.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// SettingsError lists all faults of a settings file.
type SettingsError struct {
	faults []Fault
}

// Error lists the faults, one per line.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Faults returns the faults in the order of their lines.
func (e *SettingsError) Faults() []Fault { return e.faults }

// maxFileSize is the size of the largest settings file, in bytes.
const maxFileSize = 1 << 20

// Read reads and checks the settings file at path. If the settings are wrong, the error
// is a SettingsError.
func Read(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Check(data, os.LookupEnv)
}

// Check parses settings, fills in defaults and validates them. All faults are returned
// together in a SettingsError. Secrets of the form env:NAME are looked up with lookupEnv.
func Check(data []byte, lookupEnv func(string) (string, bool)) (*Settings, error) {
	f := &fileChecker{data: data, fieldLines: map[string]int{}, wrongType: map[string]bool{}}
	if len(data) > maxFileSize {
		f.addFault(1, "", fmt.Sprintf("the file is larger than %d bytes", maxFileSize))
		return nil, f.settingsError()
	}
	root, err := hujson.Parse(limitNesting(data))
	if err != nil {
		f.addFault(syntaxFault(err))
		return nil, f.settingsError()
	}
	s := defaultSettings()
	f.checkTypes(&root, "", settingsType)
	f.decode(root, s)
	f.checkValues(s, lookupEnv)
	if err := f.settingsError(); err != nil {
		return nil, err
	}
	return s, nil
}

// syntaxFault returns the fault of a file that is not valid JSON with comments. It takes
// the line and column from the parser's error.
func syntaxFault(err error) (line int, field, text string) {
	line, column := 1, 0
	text = err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": line ")
		_, text, _ = strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, text)
	}
	return line, "", text
}

// defaultSettings returns settings with the default values of the top-level fields.
func defaultSettings() *Settings {
	return &Settings{
		ShardLease: Duration(6 * time.Second),
		ShardCount: 16,
		Log:        Log{Level: "info"},
	}
}

// decode decodes the file into s and sets the defaults of the sections that it has.
func (f *fileChecker) decode(root hujson.Value, s *Settings) {
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), s); err != nil {
		f.addFault(1, "", err.Error())
	}
	if s.Entry != nil {
		e := s.Entry
		setDefault(&e.MaxBodyBytes, 1<<20)
		setDefault(&e.DefaultTimeout, Duration(time.Minute))
		setDefault(&e.MaxTimeout, Duration(10*time.Minute))
		setDefault(&e.DefaultOutputTokens, 512)
		setDefault(&e.ShutdownDelay, Duration(2*time.Second))
		setDefault(&e.MaxConfigurationAge, Duration(3*time.Second))
	}
	if s.Hosted != nil {
		setDefault(&s.Hosted.GracePeriod, Duration(8*time.Second))
		setDefault(&s.Hosted.EngineLease, Duration(3*time.Second))
		setDefault(&s.Hosted.Retries, RetryLimits{Ratio: 0.2, Burst: 20})
	}
	if s.Sidecar != nil {
		c := s.Sidecar
		setDefault(&c.Concurrency, 32)
		setDefault(&c.QueueLimit, 256)
		setDefault(&c.MaxOrderTransit, Duration(2*time.Second))
	}
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checkValues validates the decoded values and resolves the secrets.
func (f *fileChecker) checkValues(s *Settings, lookupEnv func(string) (string, bool)) {
	f.checkOneOf("role", s.Role, "entry", "sidecar")
	f.checkPresent("name", s.Name)
	f.checkPresent("centre", s.Centre)
	f.checkAddress("peer", s.PeerAddress, true)
	f.checkAddress("admin", s.AdminAddress, false)
	if s.Hosted != nil {
		f.checkHosted(s.Hosted)
	} else {
		f.checkURL("platform", s.PlatformURL)
		f.resolveSecret("secret", &s.Secret, lookupEnv)
	}
	f.checkAtLeast("lease", time.Duration(s.ShardLease), time.Second)
	if s.ShardCount == 0 || s.ShardCount > 4096 {
		f.addValueFault("shards", "must be from 1 to 4096")
	}
	f.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	f.checkRoles(s, lookupEnv)
}

// checkRoles checks that the settings have the section of their role and no other, and
// validates the sections.
func (f *fileChecker) checkRoles(s *Settings, lookupEnv func(string) (string, bool)) {
	known := s.Role == "entry" || s.Role == "sidecar"
	if known && (s.Role == "entry") != (s.Entry != nil) {
		f.addValueFault("entry", "must be given for the role entry and only for it")
	}
	if known && (s.Role == "sidecar") != (s.Sidecar != nil) {
		f.addValueFault("sidecar", "must be given for the role sidecar and only for it")
	}
	if s.Entry != nil {
		f.checkEntry(s.Entry, lookupEnv)
	}
	if s.Sidecar != nil {
		f.checkSidecar(s.Sidecar)
	}
}

// minEngineLease is the shortest lease time of an engine.
const minEngineLease = 10 * time.Millisecond

// maxNumber is the greatest number of megabytes, tokens or retries.
const maxNumber = 1e12

// checkNumber adds a fault if value is not from 0 to maxNumber.
func (f *fileChecker) checkNumber(field string, value float64) {
	if value < 0 {
		f.addValueFault(field, "must not be negative")
	}
	if value > maxNumber {
		f.addValueFault(field, fmt.Sprintf("%g is above %g", value, float64(maxNumber)))
	}
}

// checkHosted validates the settings for a platform that hosts the process.
func (f *fileChecker) checkHosted(h *Hosted) {
	f.checkRemoteAddress("hosted.store", h.StoreAddress)
	f.checkAddress("hosted.ready", h.ReadinessAddress, false)
	f.checkNumber("hosted.memory", h.MaxMemoryMB)
	f.checkNumber("hosted.slack", h.TokenSlack)
	f.checkNumber("hosted.cold_over", h.ColdOver)
	f.checkNumber("hosted.retries.ratio", h.Retries.Ratio)
	f.checkNumber("hosted.retries.slack", h.Retries.Burst)
	f.checkAtLeast("hosted.lease", time.Duration(h.EngineLease), minEngineLease)
	f.checkAtLeast("hosted.window", time.Duration(h.LimitWindow), 0)
	f.checkAtLeast("hosted.grace", time.Duration(h.GracePeriod), time.Second)
}

// checkEntry validates the settings of an entry.
func (f *fileChecker) checkEntry(e *Entry, lookupEnv func(string) (string, bool)) {
	f.checkAddress("entry.callers", e.CallerAddress, true)
	f.checkAddress("entry.operators", e.OperatorAddress, false)
	if (e.CertificateFile == "") != (e.KeyFile == "") {
		f.addValueFault("entry.key", "certificate and key go together")
	}
	for i := range e.Accounts {
		field := fmt.Sprintf("entry.accounts[%d]", i)
		f.checkPresent(field+".name", e.Accounts[i].Name)
		f.resolveSecret(field+".token", &e.Accounts[i].Token, lookupEnv)
	}
	if e.MaxBodyBytes < 1024 {
		f.addValueFault("entry.body", "must be at least 1024 bytes")
	}
	f.checkAtLeast("entry.deadline", time.Duration(e.DefaultTimeout), time.Millisecond)
	f.checkAtLeast("entry.longest", time.Duration(e.MaxTimeout), time.Duration(e.DefaultTimeout))
	f.checkAtLeast("entry.fresh", time.Duration(e.MaxConfigurationAge), 500*time.Millisecond)
}

// checkSidecar validates the settings of a sidecar.
func (f *fileChecker) checkSidecar(c *Sidecar) {
	f.checkOneOf("sidecar.kind", c.Kind, "engine", "service")
	f.checkURL("sidecar.backend", c.BackendURL)
	f.checkPresent("sidecar.pool", c.Pool)
	if c.Concurrency < 1 {
		f.addValueFault("sidecar.concurrency", "must be at least 1")
	}
	if c.QueueLimit < 1 {
		f.addValueFault("sidecar.queue", "must be at least 1")
	}
}

// checkPresent adds a fault if value is empty.
func (f *fileChecker) checkPresent(field, value string) {
	if value == "" {
		f.addValueFault(field, "is missing")
	}
}

// checkOneOf adds a fault if value is not one of allowed.
func (f *fileChecker) checkOneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	f.addValueFault(field, fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", ")))
}

// checkAtLeast adds a fault if value is below minimum.
func (f *fileChecker) checkAtLeast(field string, value, minimum time.Duration) {
	if value < minimum {
		f.addValueFault(field, fmt.Sprintf("%v is below %v", value, minimum))
	}
}

// checkAddress adds a fault if value is not of the form IP:port. Host names are not
// allowed; port 0 stands for any free one. An empty value is a fault only if the address is
// required.
func (f *fileChecker) checkAddress(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.addValueFault(field, fmt.Sprintf("%q is not an IP number and a port", value))
	}
}

// checkRemoteAddress adds a fault if value is not the IP:port of another host.
func (f *fileChecker) checkRemoteAddress(field, value string) {
	if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
		f.addValueFault(field, fmt.Sprintf("%q is not an IP number and a port", value))
	}
}

// checkURL adds a fault if value is not an http or https URL with a host and, if it names one, a
// port from 1 to 65535.
func (f *fileChecker) checkURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		f.addValueFault(field, fmt.Sprintf("%q is not an http or https URL", value))
		return
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); u.Port() != "" && (err != nil || port == 0) {
		f.addValueFault(field, fmt.Sprintf("the port of %q is not from 1 to 65535", value))
	}
}

// minSecretLength is the length of the shortest secret, in bytes.
const minSecretLength = 16

// resolveSecret replaces a secret of the form env:NAME by the value of the environment
// variable, and adds a fault if the secret is too short.
func (f *fileChecker) resolveSecret(field string, secret *Secret, lookupEnv func(string) (string, bool)) {
	if name, ok := strings.CutPrefix(string(*secret), "env:"); ok {
		value, found := lookupEnv(name)
		if !found {
			f.addValueFault(field, "environment variable "+name+" is not set")
			return
		}
		*secret = Secret(value)
	}
	if len(*secret) < minSecretLength {
		f.addValueFault(field, fmt.Sprintf("must have at least %d bytes", minSecretLength))
	}
}
