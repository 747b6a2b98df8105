package checker

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// hostedSettings returns sound settings of an entry on a hosting platform, with other values, as
// JSON, for some fields.
func hostedSettings(changes map[string]string) string {
	fields := map[string]string{
		"role": `"entry"`, "name": `"a"`, "centre": `"c"`, "peer": `"127.0.0.1:7000"`, "admin": `"127.0.0.1:0"`,
		"hosted.store": `"10.0.0.1:80"`, "hosted.ready": `"127.0.0.1:0"`, "hosted.lease": `"3s"`, "hosted.memory": `256`, "hosted.window": `"1s"`,
		"hosted.slack": `5`, "hosted.grace": `"8s"`, "hosted.retries": `{"ratio":0.2,"slack":20}`, "entry.callers": `"127.0.0.1:0"`,
	}
	for name, value := range changes {
		fields[name] = value
	}
	sections := map[string]map[string]json.RawMessage{"": {}, "hosted.": {}, "entry.": {}}
	for name, value := range fields {
		i := strings.IndexByte(name, '.') + 1
		sections[name[:i]][name[i:]] = json.RawMessage(value)
	}
	parts := []string{}
	for name, value := range sections[""] {
		parts = append(parts, fmt.Sprintf("%q:%s", name, value))
	}
	for _, section := range []string{"hosted", "entry"} {
		members := []string{}
		for name, value := range sections[section+"."] {
			members = append(members, fmt.Sprintf("%q:%s", name, value))
		}
		parts = append(parts, fmt.Sprintf("%q:{%s}", section, strings.Join(members, ",")))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func noEnvironment(string) (string, bool) { return "", false }

// faultFields returns the fields of the faults of a settings file.
func faultFields(t *testing.T, text string) []string {
	t.Helper()
	_, err := Check([]byte(text), noEnvironment)
	if err == nil {
		return nil
	}
	var settingsErr *SettingsError
	assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
	var fields []string
	for _, f := range settingsErr.Faults() {
		fields = append(fields, f.Field)
	}
	return fields
}

// TestOddHostedSettings guards against a process that starts with an address that cannot be, a
// time below zero or a number that no integer holds, and ends later.
func TestOddHostedSettings(t *testing.T) {
	assert.Equal(t, len(faultFields(t, hostedSettings(nil))), 0)
	addresses := []string{`"127.0.0.1:65536"`, `"127.0.0.1:99999999999"`, `"127.0.0.1:-1"`, `"127.0.0.1:http"`, `"127.0.0.1:"`, `"host:80"`, `7`, `[]`, nested(20_000)}
	for field, values := range map[string][]string{
		"peer":                 addresses,
		"admin":                addresses,
		"hosted.ready":         addresses,
		"entry.callers":        addresses,
		"hosted.store":         append([]string{`"127.0.0.1:0"`, `""`}, addresses...),
		"hosted.lease":         {`"-3s"`, `"1ns"`, `"9999999999h"`, `3`, `null`},
		"hosted.window":        {`"-1s"`, `"x"`},
		"hosted.memory":        {`-1`, `1e300`, `1e999`, `"1"`},
		"hosted.slack":         {`-1`, `1e300`, `1e999`},
		"hosted.grace":         {`"-8s"`, `8`},
		"hosted.retries.ratio": {`-1`, `1e300`},
		"hosted.retries.slack": {`-1`, `1e300`},
	} {
		for _, value := range values {
			changes := map[string]string{field: value}
			if name, ok := strings.CutPrefix(field, "hosted.retries."); ok {
				changes = map[string]string{"hosted.retries": fmt.Sprintf(`{%q:%s}`, name, value)}
			}
			fields := faultFields(t, hostedSettings(changes))
			assert.Check(t, len(fields) == 1 && fields[0] == field, "%s %.40s: %q", field, value, fields)
		}
	}
}

// TestOddURL guards against a sidecar that starts with a port that no engine can have.
func TestOddURL(t *testing.T) {
	const settings = `{"role":"sidecar","name":"s","centre":"c","peer":"127.0.0.1:1","hosted":{"store":"10.0.0.1:80"},
	  "sidecar":{"kind":"engine","pool":"p","backend":%q}}`
	for _, c := range []struct {
		url   string
		wrong bool
	}{
		{"http://127.0.0.1:8000", false},
		{"http://127.0.0.1", false},
		{"http://127.0.0.1:0", true},
		{"http://127.0.0.1:65536", true},
		{"http://127.0.0.1:99999999999999999999", true},
		{"http://127.0.0.1:-1", true},
	} {
		fields := faultFields(t, fmt.Sprintf(settings, c.url))
		assert.Check(t, len(fields) == 1 == c.wrong, "%s: %q", c.url, fields)
	}
}

// nested returns a JSON list in lists of the given depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// TestOddAccounts guards against an account that hides the faults of the other ones: each is
// reported by its field.
func TestOddAccounts(t *testing.T) {
	accounts := `[null,7,[],{},{"name":7,"token":"short"},{"name":"x","token":"a long enough token"},` + nested(100_000) + `,{"name":"y","other":1,"token":"a long enough token"}]`
	fields := faultFields(t, hostedSettings(map[string]string{"entry.accounts": accounts}))
	expected := []string{
		"entry.accounts[0]", "entry.accounts[1]", "entry.accounts[2]", "entry.accounts[4].name", "entry.accounts[6]", "entry.accounts[7].other",
		"entry.accounts[3].name", "entry.accounts[3].token", "entry.accounts[4].token",
	}
	assert.DeepEqual(t, fields, expected)
}

// TestNestedSettings guards against a process that ends without a report because its settings are
// nested without end.
func TestNestedSettings(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("[", maxFileSize), strings.Repeat(`{"a":`, maxFileSize/5), nested(maxFileSize / 2),
		hostedSettings(map[string]string{"entry.accounts": nested(100_000)}),
		"// \"\n/* \" /* */" + nested(maxFileSize/2-20), `"\"` + "//" + `"` + nested(maxFileSize/2-20),
	} {
		_, err := Check([]byte(text), noEnvironment)
		var settingsErr *SettingsError
		assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
	}
}

// TestLimitNesting checks that brackets in texts and comments do not count as levels, that lines
// keep their numbers, and that the faults after a nested value are reported as well.
func TestLimitNesting(t *testing.T) {
	brackets := strings.Repeat("[", 2*maxNesting)
	text := hostedSettings(map[string]string{"name": `"\"` + brackets + `"`})
	assert.Equal(t, len(faultFields(t, "// "+brackets+"\n/* "+brackets+" */"+text)), 0)
	deeper := strings.Repeat("[", maxNesting) + `{"a":"]"` + "/*]\n*/" + `},[]` + strings.Repeat("]", maxNesting)
	limited := strings.Repeat("[", maxNesting) + `0       ` + "   \n  " + ` ,0 ` + strings.Repeat("]", maxNesting)
	assert.Equal(t, string(limitNesting([]byte(deeper))), limited)
	_, err := Check([]byte("{\"name\":"+nested(100_000)+",\n\"role\":7}"), noEnvironment)
	assert.ErrorContains(t, err, "line 1: name: must not be a list\n")
	assert.ErrorContains(t, err, "line 2: role: must be a text")
}

// FuzzFaultLines checks that any file gives either settings or faults, each with a line of the file.
func FuzzFaultLines(f *testing.F) {
	for _, seed := range []string{`{"role":"entry","entry":{"accounts":[null,{"name":1}]}}`, `{"hosted":{"retries":{"ratio":1e999}},"hosted":7}`, `[{]`, `{"":{"":1},"log":{"level":null}}`, "{//\n\"role\":/**/\"\\ud800\",}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Check(data, noEnvironment)
		if err == nil {
			assert.Assert(t, s.Hosted == nil || s.Hosted.MaxMemoryMB >= 0 && s.Hosted.MaxMemoryMB < math.MaxInt64/1e6)
			return
		}
		var settingsErr *SettingsError
		assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
		lines := strings.Count(string(data), "\n") + 1
		for _, fault := range settingsErr.Faults() {
			assert.Assert(t, fault.Line >= 1 && fault.Line <= lines, "%v", fault)
		}
	})
}
