package checker

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// lookupTestEnv looks up a name in an environment that holds FLEET_SECRET only.
func lookupTestEnv(name string) (string, bool) {
	value := map[string]string{"FLEET_SECRET": "from the environment"}[name]
	return value, value != ""
}

const validSettings = `{
  // An entry.
  "role": "entry", "name": "e1", "centre": "ghent", "peer": "127.0.0.1:7000",
  "platform": "http://127.0.0.1:8000", "secret": "env:FLEET_SECRET",
  "entry": {"callers": "127.0.0.1:8080"},
}`

// TestValidSettings checks a valid file with comments, a trailing comma, a secret from the
// environment and a default.
func TestValidSettings(t *testing.T) {
	s, err := Check([]byte(validSettings), lookupTestEnv)
	assert.NilError(t, err)
	assert.Equal(t, s.Secret.Reveal(), "from the environment")
	assert.Equal(t, s.Entry.MaxBodyBytes, int64(1<<20))
}

// TestSecretsAreHidden checks that settings hide their secrets in JSON and in all formats
// that logs use.
func TestSecretsAreHidden(t *testing.T) {
	s, err := Check([]byte(validSettings), lookupTestEnv)
	assert.NilError(t, err)
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	for _, text := range []string{string(data), fmt.Sprint(s), fmt.Sprintf("%v %+v", *s, s.Secret)} {
		assert.Assert(t, !strings.Contains(text, "environment"), text)
	}
}

// TestFaults checks that all faults of a file are reported together, with their lines.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []string
	}{
		{
			name: "meaning",
			in: `{
  "role": "entry", "name": "",
  "centre": "ghent",
  "peer": "localhost:7000",
  "platform": "ftp://x",
  "secret": "short",
  "lease": "10ms",
  "entry": {"callers": "127.0.0.1:8080", "certificate": "c.pem",
    "accounts": [{"name": "a", "token": "env:MISSING"}]}
}`,
			want: []string{
				`line 2: name: is missing`,
				`line 4: peer: "localhost:7000" is not an IP number and a port`,
				`line 5: platform: "ftp://x" is not an http or https URL`,
				`line 6: secret: must have at least 16 bytes`,
				`line 7: lease: 10ms is below 1s`,
				`line 8: entry.key: certificate and key go together`,
				`line 9: entry.accounts[0].token: environment variable MISSING is not set`,
			},
		},
		{
			name: "shape",
			in: `{
  "role": 5,
  "colour": "red",
  "lease": "soon",
  "shards": "many",
  "name": "x", "name": "y",
  "entry": [],
  "sidecar": {"queue": true, "pool": 7}
}`,
			want: []string{
				`line 1: centre: is missing`,
				`line 1: peer: "" is not an IP number and a port`,
				`line 1: platform: "" is not an http or https URL`,
				`line 1: secret: must have at least 16 bytes`,
				`line 2: role: must be a text`,
				`line 3: colour: is not a known field`,
				`line 4: lease: "soon" is not a duration such as "6s"`,
				`line 5: shards: must be a whole number from 0 to 4294967295`,
				`line 6: name: is given twice`,
				`line 7: entry: must not be a list`,
				`line 8: sidecar.queue: must be a whole number`,
				`line 8: sidecar.pool: must be a text`,
				`line 8: sidecar.kind: "" is not one of engine, service`,
				`line 8: sidecar.backend: "" is not an http or https URL`,
			},
		},
		{
			name: "type and meaning",
			in: `{
  "role": "enter", "name": "", "centre": 7, "peer": "x", "admin": "y",
  "platform": "ftp://x", "secret": "short", "lease": "10ms", "shards": 1.5,
  "log": {"level": "loud"}, "colour": "red", "name": "again",
  "entry": {"callers": "z", "operators": 9, "key": "k.pem", "body": 1e400, "deadline": 5, "fresh": "1ms",
    "accounts": [7, {"name": "", "token": "t"}]}
}`,
			want: []string{
				`line 2: centre: must be a text`,
				`line 2: role: "enter" is not one of entry, sidecar`,
				`line 2: name: is missing`,
				`line 2: peer: "x" is not an IP number and a port`,
				`line 2: admin: "y" is not an IP number and a port`,
				`line 3: shards: must be a whole number from 0 to 4294967295`,
				`line 3: platform: "ftp://x" is not an http or https URL`,
				`line 3: secret: must have at least 16 bytes`,
				`line 3: lease: 10ms is below 1s`,
				`line 4: colour: is not a known field`,
				`line 4: name: is given twice`,
				`line 4: log.level: "loud" is not one of debug, info, warn, error`,
				`line 5: entry.operators: must be a text`,
				`line 5: entry.body: must be a whole number`,
				`line 5: entry.deadline: must be a duration such as "6s"`,
				`line 5: entry.callers: "z" is not an IP number and a port`,
				`line 5: entry.key: certificate and key go together`,
				`line 5: entry.fresh: 1ms is below 500ms`,
				`line 6: entry.accounts[0]: must be an object`,
				`line 6: entry.accounts[1].name: is missing`,
				`line 6: entry.accounts[1].token: must have at least 16 bytes`,
			},
		},
		{
			name: "no object",
			in:   "[]",
			want: []string{`line 1: must not be a list`},
		},
		{
			name: "syntax",
			in:   "{\n  \"role\": \"entry\",\n  \"name\" \"x\"\n}",
			want: []string{`line 3: column 10: invalid character '"' after object name`},
		},
		{
			name: "too large",
			in:   strings.Repeat(" ", maxFileSize+1),
			want: []string{`line 1: the file is larger than 1048576 bytes`},
		},
		{
			name: "role without its part",
			in: `{
  "role": "sidecar", "name": "s", "centre": "c", "peer": "127.0.0.1:1",
  "platform": "http://p", "secret": "a long enough secret"
}`,
			want: []string{`line 1: sidecar: must be given for the role sidecar and only for it`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Check([]byte(tt.in), lookupTestEnv)
			var faults *SettingsError
			assert.Assert(t, eris.As(err, &faults))
			assert.Equal(t, faults.Error(), strings.Join(tt.want, "\n"))
		})
	}
}

// FuzzCheck looks for settings that crash Check, or that it accepts without a name.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"entry": {"accounts": [{"name": 1}]}, "sidecar": null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Check(data, lookupTestEnv)
		if err == nil && s.Name == "" {
			t.Fatal("settings without a name were accepted")
		}
	})
}

// TestExamples checks that all settings files under examples are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.json")
	assert.NilError(t, err)
	checked := 0
	for _, file := range files {
		if strings.HasPrefix(filepath.Base(file), "intent") {
			continue
		}
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, err = Check(data, func(string) (string, bool) { return "a secret of the environment", true })
		assert.NilError(t, err, file)
		checked++
	}
	assert.Assert(t, checked >= 6, "%d examples", checked)
}
