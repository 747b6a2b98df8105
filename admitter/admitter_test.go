package admitter

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
	"oleanderstall/wire"
)

const started = time.Hour

func view(change *wire.Change) *configurer.View {
	c := configurer.New()
	c.Restore(change)
	return c.View()
}

func testView() *configurer.View {
	first := uint32(0)
	return view(&wire.Change{
		Version:    7,
		Workspaces: []*wire.Workspace{{Name: "w", Rate: 10, Burst: 10, Plain: 200}, {Name: "first", Priority: &first}},
		Keys:       []*wire.Key{configurer.OpaqueKey("key", "w"), configurer.OpaqueKey("first key", "first")},
		Routes: []*wire.Route{
			{Name: "draft", Host: "h", Prefix: "/a/", Pool: "p", Stream: true, Timeout: 2000, Goal: 400, Gap: 250, Priority: 2, Attempts: 1},
			{Name: "brief", Host: "h", Prefix: "/a/b/", Pool: "p", Stream: true, Resumable: true, Timeout: 9000, Goal: 1000},
			{Name: "status", Host: "h", Prefix: "/s/", Pool: "q", Idempotent: true},
			{Name: "open", Host: "h", Prefix: "/o/", Pool: "q", Open: true},
			{Name: "split", Host: "h", Prefix: "/x/", Splits: []*wire.Split{{Pool: "p", Weight: 9}, {Pool: "q", Weight: 1}}},
		},
	})
}

func newRequest(path, key string) *CallerRequest {
	return &CallerRequest{ID: "1", Host: "h", Path: path, Key: key}
}

// TestAdmit checks the fields of requests that the configuration allows.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name    string
		request *CallerRequest
		check   func(t *testing.T, r *dispatcher.Request)
	}{
		{"stream", newRequest("/a/1", "key"), func(t *testing.T, r *dispatcher.Request) {
			assert.Equal(t, r.Kind, dispatcher.AtMostOnce)
			assert.Equal(t, r.Route, "draft")
			assert.Equal(t, r.Workspace, "w")
			assert.Equal(t, r.TargetTime, started+400*time.Millisecond)
			assert.Equal(t, r.Deadline, started+2*time.Second)
			assert.Equal(t, r.Priority, 2)
			assert.Equal(t, r.MaxAttempts, 1)
			assert.Equal(t, r.FirstEventDeadline, started+2*time.Second)
			assert.Equal(t, r.Cost, 200.0)
			assert.Equal(t, r.ConfigVersion, uint64(7))
		}},
		{"longest prefix", newRequest("/a/b/1", "key"), func(t *testing.T, r *dispatcher.Request) {
			assert.Equal(t, r.Route, "brief")
			assert.Equal(t, r.Kind, dispatcher.Resumable)
			assert.Equal(t, r.FirstEventDeadline, started+4*time.Second)
		}},
		{"idempotent without a timeout", newRequest("/s/1", "key"), func(t *testing.T, r *dispatcher.Request) {
			assert.Equal(t, r.Kind, dispatcher.Idempotent)
			assert.Equal(t, r.Deadline, started+defaultTimeout)
		}},
		{"open", newRequest("/o/1", "whatever"), func(t *testing.T, r *dispatcher.Request) {
			assert.Equal(t, r.Workspace, "")
			assert.Equal(t, r.KeyID, "")
		}},
		{"the workspace's priority overrides the route's", newRequest("/a/1", "first key"), func(t *testing.T, r *dispatcher.Request) {
			assert.Equal(t, r.Priority, 0)
		}},
		{
			"the caller's deadline is earlier", &CallerRequest{ID: "1", Host: "h", Path: "/a/1", Key: "key", Timeout: time.Second},
			func(t *testing.T, r *dispatcher.Request) { assert.Equal(t, r.Deadline, started+time.Second) },
		},
		{
			"the route's timeout is earlier", &CallerRequest{ID: "1", Host: "h", Path: "/a/1", Key: "key", Timeout: time.Minute},
			func(t *testing.T, r *dispatcher.Request) { assert.Equal(t, r.Deadline, started+2*time.Second) },
		},
		{
			"counted", &CallerRequest{ID: "1", Host: "h", Path: "/a/1", Key: "key", TokensKnown: true, InputTokens: 30, MaxOutputTokens: 4, Model: "m/a1"},
			func(t *testing.T, r *dispatcher.Request) {
				assert.Equal(t, r.Cost, 34.0)
				assert.Equal(t, r.Model, "m")
				assert.Equal(t, r.Adapter, "m/a1")
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := Admit(started, testView(), c.request)
			assert.NilError(t, err)
			c.check(t, r)
		})
	}
}

// TestAdmitRefuses checks that requests which the configuration does not allow are refused
// as not run. A process without a configuration refuses with a kind that the caller may
// retry.
func TestAdmitRefuses(t *testing.T) {
	for _, c := range []struct {
		name    string
		view    *configurer.View
		request *CallerRequest
		kind    refuser.Kind
	}{
		{"no route", testView(), newRequest("/z/1", "key"), refuser.NotFound},
		{"other host", testView(), &CallerRequest{Host: "g", Path: "/a/1", Key: "key"}, refuser.NotFound},
		{"prefix without its slash", testView(), newRequest("/a", "key"), refuser.NotFound},
		{"no key", testView(), newRequest("/a/1", ""), refuser.Unauthorized},
		{"unknown key", testView(), newRequest("/a/1", "kez"), refuser.Unauthorized},
		{"no configuration", view(&wire.Change{}), newRequest("/a/1", "key"), refuser.StaleConfiguration},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Admit(started, c.view, c.request)
			assert.Assert(t, refuser.Is(err, c.kind), "%v", err)
			assert.Assert(t, refuser.FromError(err).NeverRan())
		})
	}
}

// TestSplit checks that the requests of a route are distributed over its pools by weight.
func TestSplit(t *testing.T) {
	count := map[string]int{}
	for i := range 1000 {
		req := newRequest("/x/1", "key")
		req.ID = time.Duration(i).String()
		r, err := Admit(started, testView(), req)
		assert.NilError(t, err)
		count[r.Pool]++
	}
	assert.Assert(t, count["p"] > 850 && count["q"] > 50, "%v", count)
}

// TestRouteWithoutPool guards against requests that wait until their deadline although their route
// names no pool.
func TestRouteWithoutPool(t *testing.T) {
	v := view(&wire.Change{Version: 1, Routes: []*wire.Route{{Name: "unusable", Host: "h", Prefix: "/u/", Open: true}}})
	_, err := Admit(started, v, newRequest("/u/1", ""))
	var refusal *refuser.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Kind(), refuser.StaleConfiguration)
}

// TestOutputHint guards against a hint that is lost on admission, or that changes the charge.
func TestOutputHint(t *testing.T) {
	request := newRequest("/a/1", "key")
	request.InputTokens, request.MaxOutputTokens, request.TokensKnown, request.OutputHint = 100, 400, true, 120
	r, err := Admit(started, testView(), request)
	assert.NilError(t, err)
	assert.Equal(t, r.OutputHint, 120)
	assert.Equal(t, r.Cost, 500.0)
}

// TestHomes guards against a request that may run in a region which its route or its workspace leaves
// out.
func TestHomes(t *testing.T) {
	v := view(&wire.Change{
		Version:    1,
		Workspaces: []*wire.Workspace{{Name: "w", Regions: []string{"eu", "us"}}, {Name: "free"}},
		Keys:       []*wire.Key{configurer.OpaqueKey("key", "w"), configurer.OpaqueKey("free key", "free")},
		Routes: []*wire.Route{
			{Name: "home", Host: "h", Prefix: "/a/", Pool: "p", Regions: []string{"us", "asia"}},
			{Name: "any", Host: "h", Prefix: "/b/", Pool: "p"},
			{Name: "open", Host: "h", Prefix: "/c/", Pool: "p", Open: true, Regions: []string{"asia"}},
		},
	})
	for _, c := range []struct {
		path, key string
		allowed   string
	}{{"/a/1", "key", "us"}, {"/a/1", "free key", "us asia"}, {"/b/1", "key", "eu us"}, {"/b/1", "free key", "eu us asia"}, {"/c/1", "", "asia"}} {
		r, err := Admit(started, v, newRequest(c.path, c.key))
		assert.NilError(t, err)
		var allowed []string
		for _, region := range []string{"eu", "us", "asia"} {
			if r.Homes.Allow(region) {
				allowed = append(allowed, region)
			}
		}
		assert.Equal(t, strings.Join(allowed, " "), c.allowed, c.path+c.key)
	}
}

// TestDigestOfCaller guards against a request on which backend servers crash that is cleared by the
// answer to the same content of another workspace, whose name the server receives.
func TestDigestOfCaller(t *testing.T) {
	admit := func(key string) uint64 {
		request := newRequest("/a/1", key)
		request.Digest = 7
		admitted, err := Admit(started, testView(), request)
		assert.NilError(t, err)
		return admitted.Digest
	}
	assert.Equal(t, admit("key"), admit("key"))
	assert.Assert(t, admit("key") != admit("first key"))
}

// TestTakeUpOnSplitRoute guards against the rest of a stream that goes to another pool of a split route
// than its beginning: the ID of each attempt is another one.
func TestTakeUpOnSplitRoute(t *testing.T) {
	for i := range 200 {
		first := newRequest("/x/1", "key")
		first.ID = fmt.Sprint("first-", i)
		begun, err := Admit(started, testView(), first)
		assert.NilError(t, err)
		rest := newRequest("/x/1", "key")
		rest.ID, rest.Resumes, rest.FirstIndex = fmt.Sprint("rest-", i), first.ID, 4
		taken, err := Admit(started, testView(), rest)
		assert.NilError(t, err)
		assert.Equal(t, taken.Pool, begun.Pool)
	}
}
