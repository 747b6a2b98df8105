package runner

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"oleanderstall/checker"
	"oleanderstall/faker"
	"oleanderstall/storer"
)

// nested returns a JSON list in lists of the given depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// TestOddMemberRow guards against processes that another writer's row names: with a role that
// does not exist, without an address, with a port out of range. They would be tried as relays.
// The process that had the row before is gone, and the others stay.
func TestOddMemberRow(t *testing.T) {
	sound := `{"name":"a","role":"sidecar","centre":"c","address":"127.0.0.1:7000","started":5,"backend":"127.0.0.1:8000"}`
	for _, odd := range []string{
		``, `null`, `7`, `[]`, `{}`, "\xff\x00", nested(20_000),
		strings.Replace(sound, `"sidecar"`, `"broker"`, 1), strings.Replace(sound, `"sidecar"`, `""`, 1), strings.Replace(sound, `"sidecar"`, `7`, 1),
		strings.Replace(sound, `7000`, `70000`, 1), strings.Replace(sound, `7000`, `0`, 1), strings.Replace(sound, `7000`, `-1`, 1), strings.Replace(sound, `127.0.0.1:7000`, `host.example`, 1),
		strings.Replace(sound, `"127.0.0.1:7000"`, nested(100), 1), strings.Replace(sound, `"started":5`, `"started":99999999999999999999`, 1),
		strings.Replace(sound, `"started":5`, `"started":5.5`, 1), strings.Replace(sound, `"c"`, `""`, 1), strings.Replace(sound, `"127.0.0.1:8000"`, `7`, 1),
	} {
		t.Run(fmt.Sprintf("%.40q", odd), func(t *testing.T) {
			h := newHostedProcess(&checker.Settings{Name: "self", Hosted: &checker.Hosted{StoreAddress: "127.0.0.1:1"}}, faker.DiscardLogger())
			h.applyMemberRows(0, []storer.Row{
				{Key: storer.MemberKey("a"), Value: []byte(sound), Version: 1},
				{Key: storer.MemberKey("b"), Value: []byte(sound), Version: 2},
				{Key: storer.MemberKey("x"), Value: []byte(odd), Version: 3},
				{Key: storer.MemberKey("z"), Value: []byte(sound), Version: 4},
			})
			assert.Equal(t, len(h.membership.All()), 3)
			h.applyMemberRows(0, []storer.Row{{Key: storer.MemberKey("a"), Value: []byte(odd), Version: 5}})
			members := h.membership.All()
			assert.Equal(t, len(members), 2)
			assert.Equal(t, members[0].GetName(), "b")
			h.applyMemberRows(0, []storer.Row{{Key: storer.MemberKey("a"), Value: []byte(sound), Version: 6}})
			assert.Equal(t, len(h.membership.All()), 3)
		})
	}
}

// TestOddSecretRow guards against a fleet whose secret is what another writer left in its row, an
// empty one at worst: it is replaced, and all processes read the same one.
func TestOddSecretRow(t *testing.T) {
	for _, odd := range []string{``, `x`, "\xff"} {
		table := newRowTable(t)
		row := putRow(t, table, storer.SecretKey, odd)
		_, err := fleetSecret(t.Context(), table, storer.Row{})
		var formatErr *storer.FormatError
		assert.Assert(t, errors.As(err, &formatErr), "%q: %v", odd, err)
		first, err := fleetSecret(t.Context(), table, row)
		assert.NilError(t, err)
		second, err := fleetSecret(t.Context(), table, row)
		assert.NilError(t, err)
		assert.Equal(t, first, second)
		assert.Assert(t, len(first) >= minFleetSecretBytes)
	}
}
