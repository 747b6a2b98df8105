// Package operator faces the operators: intents, plans, keys, status, dumps and
// explanations, over HTTP with JSON. Client is the other side, for the command
// line.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"oleanderstall/configurer"
	"oleanderstall/member"
	"oleanderstall/peer"
	"oleanderstall/planner"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of the operators' calls.
const (
	maxBody = 4 << 20
	// publishTries is how often a key change is tried again after another
	// change came first.
	publishTries = 8
	dumpLimit    = 2 * time.Second
	forcePoll    = 100 * time.Millisecond
)

// Account is one operator and the token that identifies it.
type Account struct {
	Name  string
	Token string
}

// Dumper gives the state of this process, or its records about a subject.
type Dumper func(subject string) []byte

// Server answers operators. It is safe for concurrent use.
type Server struct {
	accounts []Account
	fresh    time.Duration
	clock    timer.Clock
	caller   peer.Caller
	table    storer.Table
	sync     *syncer.Syncer
	copy     *configurer.Configurer
	member   *member.Member
	dump     Dumper
	log      *log.Logger
	router   *mux.Router
}

// New returns the server for operators. Fresh is the time after which an entry
// without proof of the newest configuration refuses keys.
func New(accounts []Account, fresh time.Duration, clock timer.Clock, c peer.Caller, t storer.Table, s *syncer.Syncer, cp *configurer.Configurer, m *member.Member, d Dumper, l *log.Logger) *Server {
	o := &Server{
		accounts: accounts,
		fresh:    fresh,
		clock:    clock,
		caller:   c,
		table:    t,
		sync:     s,
		copy:     cp,
		member:   m,
		dump:     d,
		log:      l,
		router:   mux.NewRouter(),
	}
	o.router.HandleFunc("/v1/intents", o.intent).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/plans/{id}", o.plan).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/plans/{id}/confirm", o.confirm).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/keys", o.grant).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/keys/{id}", o.withdraw).Methods(http.MethodDelete)
	o.router.HandleFunc("/v1/status", o.status).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/explain", o.explain).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/dump", o.dumpOf).Methods(http.MethodGet)
	return o
}

// nameKey carries the operator's name in a request's context.
type nameKey struct{}

// ServeHTTP implements http.Handler. Every access is logged.
func (o *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := o.identify(r)
	o.log.Info().Str("operator", name).Str("method", r.Method).Str("path", r.URL.Path).Msg("operator: access")
	if name == "" {
		fail(w, refuser.New(refuser.Unauthorized, "the operator's token is missing or wrong"))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	o.router.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, name)))
}

// identify returns the name of the operator, or nothing.
func (o *Server) identify(r *http.Request) string {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	got := sha256.Sum256([]byte(token))
	name := ""
	for _, a := range o.accounts {
		want := sha256.Sum256([]byte(a.Token))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			name = a.Name
		}
	}
	return name
}

func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(nameKey{}).(string)
	return name
}

// Failure is the answer to a call that was refused.
type Failure struct {
	Kind   string          `json:"kind"`
	Text   string          `json:"text"`
	Faults []planner.Fault `json:"faults,omitempty"`
	// Changes lists what came between a plan and its confirmation.
	Changes []string `json:"changes,omitempty"`
}

func fail(w http.ResponseWriter, err error) {
	var intent *planner.IntentError
	if eris.As(err, &intent) {
		reply(w, http.StatusBadRequest, Failure{Kind: "invalid_intent", Text: intent.Error(), Faults: intent.Faults()})
		return
	}
	r := refuser.Of(err)
	reply(w, r.Kind().Status(), Failure{Kind: r.Kind().String(), Text: r.Text()})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if m, ok := v.(proto.Message); ok {
		data, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
		_, _ = w.Write(data)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

// intent answers an intent with a plan.
func (o *Server) intent(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		fail(w, refuser.New(refuser.TooLarge, "the intent could not be read: "+err.Error()))
		return
	}
	change := &wire.Change{}
	if err := protojson.Unmarshal(body, change); err != nil {
		fail(w, refuser.New(refuser.Invalid, err.Error()))
		return
	}
	if len(change.GetKeys()) > 0 || change.GetVersion() != 0 || change.GetAuthor() != "" || change.GetToken() != "" {
		fail(w, refuser.New(refuser.Invalid, "an intent has models, workspaces, routes and drops only"))
		return
	}
	plan, err := o.propose(r.Context(), change)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, plan)
}

// propose plans a change against the newest configuration and keeps the plan.
func (o *Server) propose(ctx context.Context, change *wire.Change) (*wire.Plan, error) {
	if err := o.sync.Pull(ctx, o.clock()); err != nil {
		return nil, outage(err)
	}
	plan, err := planner.Plan("plan-"+strings.ToLower(rand.Text()[:12]), o.copy.View(), change)
	if err != nil {
		return nil, err
	}
	value, err := storer.Encode(plan)
	if err != nil {
		return nil, err
	}
	tx := storer.Transaction{Puts: []storer.Put{{Key: storer.PlanKey(plan.GetId()), Value: value}}}
	if _, err := o.table.Commit(ctx, tx); err != nil {
		return nil, outage(err)
	}
	return plan, nil
}

func outage(err error) error {
	return refuser.Unknown(refuser.Outage, "the platform does not answer: "+err.Error()).After(time.Second)
}

func (o *Server) read(ctx context.Context, id string) (*wire.Plan, uint64, error) {
	row, err := o.table.Get(ctx, storer.PlanKey(id))
	if err != nil {
		return nil, 0, outage(err)
	}
	if row.Version == 0 {
		return nil, 0, refuser.New(refuser.NotFound, "no plan "+id)
	}
	plan := &wire.Plan{}
	return plan, row.Version, storer.Decode(row.Value, plan)
}

func (o *Server) plan(w http.ResponseWriter, r *http.Request) {
	plan, _, err := o.read(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, plan)
}

// confirm brings a plan into force. Confirming it again changes nothing.
func (o *Server) confirm(w http.ResponseWriter, r *http.Request) {
	plan, version, err := o.read(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		fail(w, err)
		return
	}
	if plan.GetConfirmed() == 0 {
		err = o.enforce(r.Context(), plan, version, operatorOf(r))
	}
	var overtaken *syncer.OvertakenError
	if eris.As(err, &overtaken) {
		o.overtaken(r.Context(), w, plan, overtaken)
		return
	}
	if err != nil {
		fail(w, outage(err))
		return
	}
	o.settled(r.Context(), plan.GetConfirmed())
	reply(w, http.StatusOK, plan)
}

// enforce publishes a plan's change together with the plan's confirmation.
func (o *Server) enforce(ctx context.Context, plan *wire.Plan, version uint64, name string) error {
	plan.Confirmed = plan.GetBase() + 1
	value, err := storer.Encode(plan)
	if err != nil {
		return err
	}
	key := storer.PlanKey(plan.GetId())
	extra := storer.Transaction{
		Checks: []storer.Check{{Key: key, Version: version}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	}
	change := proto.CloneOf(plan.GetChange())
	change.Author = name
	change.At = time.Now().UnixMilli()
	change.Token = plan.GetId()
	return o.sync.Publish(ctx, o.clock(), plan.GetBase(), change, extra)
}

// overtaken refuses a plan that another change came before, unless that change
// was this plan's own.
func (o *Server) overtaken(ctx context.Context, w http.ResponseWriter, plan *wire.Plan, e *syncer.OvertakenError) {
	now, _, err := o.read(ctx, plan.GetId())
	if err == nil && now.GetConfirmed() != 0 {
		reply(w, http.StatusOK, now)
		return
	}
	_ = o.sync.Pull(ctx, o.clock())
	reply(w, http.StatusConflict, Failure{
		Kind:    refuser.Conflict.String(),
		Text:    e.Error() + "; make a new plan",
		Changes: planner.Differences(o.copy.After(plan.GetBase())),
	})
}

// Granted is the answer to a grant. The key is shown this once.
type Granted struct {
	ID  string `json:"id"`
	Key string `json:"key"`
	Force
}

// grant makes a new key for a workspace.
func (o *Server) grant(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Workspace string `json:"workspace"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		fail(w, refuser.New(refuser.Invalid, "the body is not a JSON object with a workspace"))
		return
	}
	secret := rand.Text()
	hash := sha256.Sum256([]byte(secret))
	key := &wire.Key{Id: "key-" + strings.ToLower(rand.Text()[:10]), Hash: hash[:], Workspace: ask.Workspace}
	version, err := o.publish(r.Context(), operatorOf(r), func(v *configurer.View) (*wire.Change, error) {
		if v.Workspace(ask.Workspace) == nil {
			return nil, refuser.New(refuser.NotFound, "no workspace "+ask.Workspace)
		}
		return &wire.Change{Keys: []*wire.Key{key}}, nil
	})
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, Granted{
		ID:    key.GetId(),
		Key:   key.GetId() + "." + secret,
		Force: o.settled(r.Context(), version),
	})
}

// publish makes a change from the newest configuration and publishes it, again
// if another change came first.
func (o *Server) publish(ctx context.Context, name string, build func(*configurer.View) (*wire.Change, error)) (uint64, error) {
	var err error
	for range publishTries {
		if err = o.sync.Pull(ctx, o.clock()); err != nil {
			return 0, outage(err)
		}
		view := o.copy.View()
		change, buildErr := build(view)
		if buildErr != nil {
			return 0, buildErr
		}
		change.Author = name
		change.At = time.Now().UnixMilli()
		change.Token = rand.Text()
		err = o.sync.Publish(ctx, o.clock(), view.Version(), change, storer.Transaction{})
		var overtaken *syncer.OvertakenError
		if err == nil {
			return change.GetVersion(), nil
		}
		if !eris.As(err, &overtaken) {
			return 0, outage(err)
		}
	}
	return 0, refuser.New(refuser.Conflict, err.Error())
}

// Force tells where a version is in force.
type Force struct {
	Version uint64   `json:"version"`
	Have    []string `json:"in_force"`
	// Pending entries have not confirmed. After a withdrawal they refuse keys
	// until they have the version.
	Pending []string `json:"pending,omitempty"`
}

// withdraw removes a key. It answers once every live entry has the change, or
// once those that do not answer refuse keys by themselves.
func (o *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	version, err := o.publish(r.Context(), operatorOf(r), func(v *configurer.View) (*wire.Change, error) {
		if v.Key(id) == nil {
			return nil, refuser.New(refuser.NotFound, "no key "+id)
		}
		return &wire.Change{Drops: []string{"key/" + id}}, nil
	})
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, o.settled(r.Context(), version))
}

// settled tells every entry of the version and waits until each has it, for as
// long as an entry without proof still accepts keys.
func (o *Server) settled(ctx context.Context, version uint64) Force {
	until := o.clock() + o.fresh + o.fresh/10
	for {
		f := Force{Version: version}
		limited, cancel := context.WithTimeout(ctx, forcePoll*5)
		f.Have, f.Pending = o.member.InForce(limited, version)
		cancel()
		if len(f.Pending) == 0 || o.clock() >= until || ctx.Err() != nil {
			return f
		}
		time.Sleep(forcePoll)
	}
}

// Status is the state of the fleet.
type Status struct {
	Force
	Instances []storer.Instance `json:"instances"`
}

func (o *Server) status(w http.ResponseWriter, r *http.Request) {
	_ = o.sync.Pull(r.Context(), o.clock())
	st := Status{Force: Force{Version: o.copy.View().Version()}}
	limited, cancel := context.WithTimeout(r.Context(), dumpLimit)
	defer cancel()
	st.Have, st.Pending = o.member.InForce(limited, st.Version)
	st.Instances = append(o.member.Instances("entry"), o.member.Instances("sidecar")...)
	reply(w, http.StatusOK, st)
}

// explain gathers the records about a subject from all processes.
func (o *Server) explain(w http.ResponseWriter, r *http.Request) {
	subject := r.URL.Query().Get("subject")
	if subject == "" {
		fail(w, refuser.New(refuser.Invalid, "field subject: is missing"))
		return
	}
	list := append(o.member.Instances("entry"), o.member.Instances("sidecar")...)
	found := make([][]recorder.Record, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() {
			data, err := o.fetch(r.Context(), in.Name, subject)
			if err == nil {
				_ = json.Unmarshal(data, &found[i])
			}
		})
	}
	wg.Wait()
	reply(w, http.StatusOK, recorder.Merge(found))
}

// dumpOf answers with the state of any process.
func (o *Server) dumpOf(w http.ResponseWriter, r *http.Request) {
	data, err := o.fetch(r.Context(), r.URL.Query().Get("instance"), "")
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// fetch asks a process for its state, or for its records about a subject.
func (o *Server) fetch(ctx context.Context, name, subject string) ([]byte, error) {
	if name == o.member.Self().Name || name == "" {
		return o.dump(subject), nil
	}
	in, ok := o.member.Find(name)
	if !ok {
		return nil, refuser.New(refuser.NotFound, "no instance "+name)
	}
	limited, cancel := context.WithTimeout(ctx, dumpLimit)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Dump{Dump: &wire.Dump{Subject: subject}}}
	res, err := peer.One(limited, o.caller, in.Address, call)
	if err != nil {
		return nil, refuser.New(refuser.Lost, err.Error())
	}
	return res.GetText().GetData(), nil
}
