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

// rig is two entries' operator APIs before one platform.
type rig struct {
	platform *faker.Platform
	members  []*member.Member
	clients  []*Client
	urls     []string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{platform: faker.NewPlatform()}
	network := faker.NewNetwork()
	clock := faker.NewClock()
	l := faker.Silent()
	var list []storer.Instance
	for _, name := range []string{"a", "b"} {
		list = append(list, storer.Instance{Name: name, Role: "entry", Centre: "c", Address: name})
	}
	r.platform.SetInstances(list...)
	for _, in := range list {
		c := configurer.New()
		s := syncer.New(r.platform, r.platform, c)
		m := member.New(in, clock.Now, network, r.platform, s, c, l)
		network.Attach(in.Name, func(ctx context.Context, call *wire.Call, st peer.Stream) {
			if p := call.GetProbe(); p != nil {
				reply := m.Answer(ctx, p)
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
		h := httptest.NewServer(New(accounts, time.Second, clock.Now, network, r.platform, s, c, m, dump, l))
		t.Cleanup(h.Close)
		r.members = append(r.members, m)
		r.urls = append(r.urls, h.URL)
	}
	r.clients = []*Client{NewClient(r.urls[0], "token of ann"), NewClient(r.urls[1], "token of bob")}
	return r
}

const workspaces = `{"workspaces": [{"name": "NAME", "rate": 10, "burst": 100}]}`

func (r *rig) plan(t *testing.T, client int, name string) string {
	t.Helper()
	data, err := r.clients[client].Intent(context.Background(), []byte(strings.Replace(workspaces, "NAME", name, 1)))
	assert.NilError(t, err)
	var plan struct {
		ID string `json:"id"`
	}
	assert.NilError(t, json.Unmarshal(data, &plan))
	return plan.ID
}

// TestOvertakenPlan confirms a plan after another operator's change. It is
// refused with what changed, and nothing is merged.
func TestOvertakenPlan(t *testing.T) {
	r := newRig(t)
	ctx := context.Background()
	first, second := r.plan(t, 0, "one"), r.plan(t, 1, "two")
	_, err := r.clients[0].Confirm(ctx, first)
	assert.NilError(t, err)
	_, err = r.clients[1].Confirm(ctx, second)
	var status *StatusError
	assert.Assert(t, eris.As(err, &status))
	assert.Equal(t, status.Status, http.StatusConflict)
	var f Failure
	assert.NilError(t, json.Unmarshal([]byte(status.Body), &f))
	assert.DeepEqual(t, f.Changes, []string{"version 1 by ann: workspace/one"})
	assert.Assert(t, r.members[1].View().Workspace("two") == nil)
}

// TestConfirmTwice repeats a confirmation at both entries, the second time with
// the platform's answer to the first lost.
func TestConfirmTwice(t *testing.T) {
	r := newRig(t)
	ctx := context.Background()
	id := r.plan(t, 0, "one")
	r.platform.Lose(1)
	for _, c := range []*Client{r.clients[0], r.clients[1], r.clients[0]} {
		data, err := c.Confirm(ctx, id)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(strings.ReplaceAll(string(data), " ", ""), `"confirmed":"1"`), string(data))
	}
	assert.Equal(t, r.members[0].View().Version(), uint64(1))
}

// TestIntentHasNoEffect sends an intent without confirming it.
func TestIntentHasNoEffect(t *testing.T) {
	r := newRig(t)
	r.plan(t, 0, "one")
	assert.Equal(t, r.members[0].View().Version(), uint64(0))
}

func TestBadCalls(t *testing.T) {
	r := newRig(t)
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
			_, err := tt.call(r.clients[0])
			var status *StatusError
			assert.Assert(t, eris.As(err, &status))
			assert.Equal(t, status.Status, tt.status, status.Body)
			assert.Assert(t, strings.Contains(status.Body, tt.text), status.Body)
		})
	}
}

// TestStrangers calls without a token and with a wrong one.
func TestStrangers(t *testing.T) {
	r := newRig(t)
	for _, token := range []string{"", "token of", "token of anne"} {
		_, err := NewClient(r.urls[0], token).Status(context.Background())
		var status *StatusError
		assert.Assert(t, eris.As(err, &status), token)
		assert.Equal(t, status.Status, http.StatusUnauthorized)
	}
}

// TestKeys grants a key, which is in force at both entries at the answer, and
// withdraws it.
func TestKeys(t *testing.T) {
	r := newRig(t)
	ctx := context.Background()
	_, err := r.clients[0].Confirm(ctx, r.plan(t, 0, "one"))
	assert.NilError(t, err)
	data, err := r.clients[0].Grant(ctx, "one")
	assert.NilError(t, err)
	var g Granted
	assert.NilError(t, json.Unmarshal(data, &g))
	for _, m := range r.members {
		_, err := m.View().Authenticate(g.Key)
		assert.NilError(t, err)
	}
	data, err = r.clients[1].Withdraw(ctx, g.ID)
	assert.NilError(t, err)
	var f Force
	assert.NilError(t, json.Unmarshal(data, &f))
	assert.DeepEqual(t, f.Have, []string{"a", "b"})
	for _, m := range r.members {
		_, err := m.View().Authenticate(g.Key)
		assert.Assert(t, err != nil)
	}
}

// TestExplain gathers the records of both entries in the order of time.
func TestExplain(t *testing.T) {
	r := newRig(t)
	data, err := r.clients[0].Explain(context.Background(), "model/m")
	assert.NilError(t, err)
	assert.Assert(t, strings.Index(string(data), "loaded") < strings.Index(string(data), "unloaded"), string(data))
}
