package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/faker"
	"oleanderstall/member"
	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/wire"
)

// fixture holds the operator APIs of two entries that share one platform.
type fixture struct {
	platform *faker.Platform
	clock    *faker.Clock
	members  []*member.Member
	clients  []*Client
	urls     []string
}

// newFixture starts the entries a and b. Client 0 is ann at entry a, client 1 is bob at
// entry b.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := faker.NewClock()
	fx := &fixture{platform: faker.NewPlatform(), clock: clock}
	network := faker.NewNetwork()
	l := faker.DiscardLogger()
	var list []storer.Instance
	for _, name := range []string{"a", "b"} {
		list = append(list, storer.Instance{Name: name, Role: "entry", Centre: "c", Address: name})
	}
	fx.platform.SetInstances(list...)
	for _, in := range list {
		c := configurer.New()
		s := syncer.New(fx.platform, fx.platform, c)
		m := member.New(in, clock.Now, network, fx.platform, s, c, l)
		network.Attach(in.Name, func(ctx context.Context, call *wire.Call, st peer.Stream) {
			if p := call.GetProbe(); p != nil {
				reply := m.AnswerProbe(ctx, p)
				m.Poll(ctx)
				_ = st.Send(reply)
				return
			}
			text := &wire.Text{Data: []byte(`[{"at":1,"instance":"b","subject":"model/m","text":"loaded"}]`)}
			_ = st.Send(&wire.Reply{Body: &wire.Reply_Text{Text: text}})
		})
		m.Poll(context.Background())
		dump := func(string) []byte { return []byte(`[{"at":2,"instance":"a","subject":"model/m","text":"unloaded"}]`) }
		accounts := []Account{{Name: "ann", Token: "token of ann"}, {Name: "bob", Token: "token of bob"}}
		server := httptest.NewServer(New(accounts, time.Second, clock.Now, network, fx.platform, s, c, m, dump, l))
		t.Cleanup(server.Close)
		fx.members = append(fx.members, m)
		fx.urls = append(fx.urls, server.URL)
	}
	fx.clients = []*Client{NewClient(fx.urls[0], "token of ann"), NewClient(fx.urls[1], "token of bob")}
	return fx
}

const workspaceIntent = `{"workspaces": [{"name": "NAME", "rate": 10, "burst": 100}]}`

// createPlan sends an intent for a workspace of that name and returns the plan's ID.
func (fx *fixture) createPlan(t *testing.T, client int, name string) string {
	t.Helper()
	data, err := fx.clients[client].Intent(context.Background(), []byte(strings.Replace(workspaceIntent, "NAME", name, 1)))
	assert.NilError(t, err)
	var plan struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.Unmarshal(data, &plan))
	return plan.ID
}

// TestConfirmStalePlan confirms a plan after another operator's change. The confirmation
// must be refused with a list of the changes, and nothing may be merged.
func TestConfirmStalePlan(t *testing.T) {
	fx := newFixture(t)
	ctx := context.Background()
	first, second := fx.createPlan(t, 0, "one"), fx.createPlan(t, 1, "two")
	_, err := fx.clients[0].Confirm(ctx, first)
	assert.NilError(t, err)
	_, err = fx.clients[1].Confirm(ctx, second)
	var status *StatusError
	assert.Assert(t, eris.As(err, &status))
	assert.Equal(t, status.Status, http.StatusConflict)
	var failure Failure
	assert.NilError(t, json.Unmarshal([]byte(status.Body), &failure))
	assert.DeepEqual(t, failure.Changes, []string{"version 1 by ann: workspace/one"})
	assert.Assert(t, fx.members[1].View().Workspace("two") == nil)
}

// TestConfirmTwice confirms one plan three times, at both entries. The answer to the
// first commit is lost. Each confirmation must succeed and the change be published once.
func TestConfirmTwice(t *testing.T) {
	fx := newFixture(t)
	ctx := context.Background()
	id := fx.createPlan(t, 0, "one")
	fx.platform.LoseAnswers(1)
	for _, c := range []*Client{fx.clients[0], fx.clients[1], fx.clients[0]} {
		data, err := c.Confirm(ctx, id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(strings.ReplaceAll(string(data), " ", ""), `"confirmed":"1"`), string(data))
	}
	assert.Equal(t, fx.members[0].View().Version(), uint64(1))
}

// TestIntentHasNoEffect checks that an intent changes nothing before its plan is
// confirmed.
func TestIntentHasNoEffect(t *testing.T) {
	fx := newFixture(t)
	fx.createPlan(t, 0, "one")
	assert.Equal(t, fx.members[0].View().Version(), uint64(0))
}

// TestRefusedCalls checks the status and the text of calls that must be refused.
func TestRefusedCalls(t *testing.T) {
	fx := newFixture(t)
	ctx := context.Background()
	tests := []struct {
		name   string
		call   func(c *Client) ([]byte, error)
		status int
		text   string
	}{
		{"not JSON", func(c *Client) ([]byte, error) { return c.Intent(ctx, []byte("{")) }, 400, "invalid_request"},
		{"unknown field", func(c *Client) ([]byte, error) { return c.Intent(ctx, []byte(`{"colour": 1}`)) }, 400, "colour"},
		{"keys in an intent", func(c *Client) ([]byte, error) { return c.Intent(ctx, []byte(`{"keys": [{"id": "k"}]}`)) }, 400, "invalid_request"},
		{"empty intent", func(c *Client) ([]byte, error) { return c.Intent(ctx, []byte(`{}`)) }, 400, "invalid_intent"},
		{"wrong fields", func(c *Client) ([]byte, error) {
			return c.Intent(ctx, []byte(`{"workspaces": [{"name": ""}]}`))
		}, 400, `"field":"workspaces[0].name"`},
		{"unknown plan", func(c *Client) ([]byte, error) { return c.Confirm(ctx, "plan-x") }, 404, "not_found"},
		{"unknown workspace", func(c *Client) ([]byte, error) { return c.Grant(ctx, "nobody") }, 404, "not_found"},
		{"unknown key", func(c *Client) ([]byte, error) { return c.Withdraw(ctx, "key-x") }, 404, "not_found"},
		{"unknown instance", func(c *Client) ([]byte, error) { return c.Dump(ctx, "x") }, 404, "not_found"},
		{"no subject", func(c *Client) ([]byte, error) { return c.Explain(ctx, "") }, 400, "subject"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.call(fx.clients[0])
			var status *StatusError
			assert.Assert(t, eris.As(err, &status))
			assert.Equal(t, status.Status, tt.status, status.Body)
			assert.Assert(t, strings.Contains(status.Body, tt.text), status.Body)
		})
	}
}

// TestWrongToken checks that calls without a token or with a wrong one are refused.
func TestWrongToken(t *testing.T) {
	fx := newFixture(t)
	for _, token := range []string{"", "token of", "token of anne"} {
		_, err := NewClient(fx.urls[0], token).Status(context.Background())
		var status *StatusError
		assert.Assert(t, eris.As(err, &status), token)
		assert.Equal(t, status.Status, http.StatusUnauthorized)
	}
}

// TestGrantAndWithdrawKey checks that a grant and a withdrawal are in force at both
// entries when they are answered.
func TestGrantAndWithdrawKey(t *testing.T) {
	fx := newFixture(t)
	ctx := context.Background()
	_, err := fx.clients[0].Confirm(ctx, fx.createPlan(t, 0, "one"))
	assert.NilError(t, err)
	data, err := fx.clients[0].Grant(ctx, "one")
	assert.NilError(t, err)
	var g GrantedKey
	assert.NilError(t, json.Unmarshal(data, &g))
	for _, m := range fx.members {
		_, err := m.View().Authenticate(g.Key)
		assert.NilError(t, err)
	}
	data, err = fx.clients[1].Withdraw(ctx, g.ID)
	assert.NilError(t, err)
	var rollout Rollout
	assert.NilError(t, json.Unmarshal(data, &rollout))
	assert.DeepEqual(t, rollout.InForce, []string{"a", "b"})
	for _, m := range fx.members {
		_, err := m.View().Authenticate(g.Key)
		assert.Assert(t, err != nil)
	}
}

// TestExplain checks that the records of both entries are merged by time.
func TestExplain(t *testing.T) {
	fx := newFixture(t)
	data, err := fx.clients[0].Explain(context.Background(), "model/m")
	assert.NilError(t, err)
	assert.Assert(t, strings.Index(string(data), "loaded") < strings.Index(string(data), "unloaded"), string(data))
}

// TestStatusNamesSkippedChanges guards against a gap in the configuration that nobody notices.
func TestStatusNamesSkippedChanges(t *testing.T) {
	fx := newFixture(t)
	ctx := context.Background()
	status := fx.status(t)
	assert.Equal(t, len(status.Skipped), 0)
	head, err := storer.Encode(&wire.Head{Version: status.Version + 1})
	assert.NilError(t, err)
	_, err = fx.platform.Commit(ctx, storer.Transaction{Puts: []storer.Put{
		{Key: storer.ConfigHeadKey, Value: head},
		{Key: storer.ChangeKey(status.Version + 1), Value: []byte{0xff}},
	}})
	assert.NilError(t, err)
	fx.members[0].Poll(ctx)
	fx.clock.Advance(time.Minute)
	assert.DeepEqual(t, fx.status(t).Skipped, []uint64{status.Version + 1})
}

// status returns the state of the fleet as entry a shows it.
func (fx *fixture) status(t *testing.T) Status {
	data, err := fx.clients[0].Status(context.Background())
	assert.NilError(t, err)
	var status Status
	assert.NilError(t, json.Unmarshal(data, &status))
	return status
}
