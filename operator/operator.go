// Package operator implements the JSON API over HTTP for operators: intents, plans,
// keys, status, dumps and explanations of decisions. Client is its client for the
// command line.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
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
	"oleanderstall/receiver"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of the operators' calls.
const (
	// maxBodyBytes is the size of the largest request body.
	maxBodyBytes = 4 << 20
	// bodyCopies is the number of copies of a body that are in memory at a time: as received, as
	// parsed and in the plan.
	bodyCopies = 3
	// maxPublishAttempts is how often a key change is tried if other changes are
	// published first.
	maxPublishAttempts = 8
	// dumpTimeout bounds a call of another process for a dump or for the status.
	dumpTimeout = 2 * time.Second
	// inForcePollInterval is the pause between two rounds of queries for the
	// configuration versions of the entries.
	inForcePollInterval = 100 * time.Millisecond
)

// Account is one operator and the token that identifies it.
type Account struct {
	Name  string
	Token string
}

// Dumper returns the state of this process as JSON, or its decision records about a
// subject if that is not empty.
type Dumper func(subject string) []byte

// Server serves the operator API of an entry. It is safe for concurrent use.
type Server struct {
	accounts            []Account
	maxConfigurationAge time.Duration
	clock               timer.Clock
	caller              peer.Caller
	table               storer.Table
	syncer              *syncer.Syncer
	config              *configurer.Configurer
	member              *member.Member
	dump                Dumper
	log                 *log.Logger
	router              *mux.Router
}

// New returns the server of the operator API. An entry refuses keys if for
// maxConfigurationAge it has had no proof that its configuration is the newest.
func New(accounts []Account, maxConfigurationAge time.Duration, clock timer.Clock, c peer.Caller, t storer.Table, s *syncer.Syncer, config *configurer.Configurer, m *member.Member, d Dumper, l *log.Logger) *Server {
	o := &Server{
		accounts:            accounts,
		maxConfigurationAge: maxConfigurationAge,
		clock:               clock,
		caller:              c,
		table:               t,
		syncer:              s,
		config:              config,
		member:              m,
		dump:                d,
		log:                 l,
		router:              mux.NewRouter(),
	}
	o.router.HandleFunc("/v1/intents", o.handleIntent).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/plans/{id}", o.handlePlan).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/plans/{id}/confirm", o.handleConfirm).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/keys", o.handleGrant).Methods(http.MethodPost)
	o.router.HandleFunc("/v1/keys/{id}", o.handleWithdraw).Methods(http.MethodDelete)
	o.router.HandleFunc("/v1/status", o.handleStatus).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/explain", o.handleExplain).Methods(http.MethodGet)
	o.router.HandleFunc("/v1/dump", o.handleDump).Methods(http.MethodGet)
	return o
}

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// ServeHTTP implements http.Handler. It logs every access, also refused ones.
func (o *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := o.authenticate(r)
	o.log.Info().Str("operator", name).Str("method", r.Method).Str("path", r.URL.Path).Msg("operator: access")
	if name == "" {
		writeError(w, refuser.New(refuser.Unauthorized, "the operator's token is missing or wrong"))
		return
	}
	o.router.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
}

// authenticate returns the name of the operator whose token the request presents, or
// "". It compares the token with that of every account in constant time.
func (o *Server) authenticate(r *http.Request) string {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	presented := sha256.Sum256([]byte(token))
	name := ""
	for _, a := range o.accounts {
		expected := sha256.Sum256([]byte(a.Token))
		if subtle.ConstantTimeCompare(presented[:], expected[:]) == 1 {
			name = a.Name
		}
	}
	return name
}

// operatorName returns the name of the operator that sent the request.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

// Failure is the answer to a call that was refused.
type Failure struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
	// Faults lists the wrong fields of an intent.
	Faults []planner.Fault `json:"faults,omitempty"`
	// Changes lists the changes that were published between a plan and its
	// confirmation.
	Changes []string `json:"changes,omitempty"`
}

// writeError writes err as a Failure.
func writeError(w http.ResponseWriter, err error) {
	var intent *planner.IntentError
	if eris.As(err, &intent) {
		writeJSON(w, http.StatusBadRequest, Failure{Kind: "invalid_intent", Text: intent.Error(), Faults: intent.Faults()})
		return
	}
	r := refuser.FromError(err)
	writeJSON(w, r.Kind().HTTPStatus(), Failure{Kind: r.Kind().String(), Text: r.Text()})
}

// writeJSON writes v as JSON with the status. A protobuf message is written with the
// field names of its definition.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if m, ok := v.(proto.Message); ok {
		data, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
		_, _ = w.Write(data)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

// handleIntent answers an intent with a plan. Keys are not part of an intent, and the
// version, author and token of a change are set when it is published.
func (o *Server) handleIntent(w http.ResponseWriter, r *http.Request) {
	body, err := receiver.ReadBody(w, r, maxBodyBytes, bodyCopies)
	if err != nil {
		refusal := refuser.FromError(err)
		writeError(w, refuser.New(refusal.Kind(), "the intent could not be read: "+refusal.Text()))
		return
	}
	change := &wire.Change{}
	if err := protojson.Unmarshal(body, change); err != nil {
		writeError(w, refuser.New(refuser.InvalidRequest, err.Error()))
		return
	}
	if len(change.GetKeys()) > 0 || change.GetVersion() != 0 || change.GetAuthor() != "" || change.GetToken() != "" {
		writeError(w, refuser.New(refuser.InvalidRequest, "an intent has models, workspaces, routes, data centres to evacuate and drops only"))
		return
	}
	plan, err := o.createPlan(r.Context(), change)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, plan)
}

// createPlan plans a change against the newest configuration and stores the plan.
func (o *Server) createPlan(ctx context.Context, change *wire.Change) (*wire.Plan, error) {
	if err := o.syncer.Pull(ctx, o.clock()); err != nil {
		return nil, platformUnavailable(err)
	}
	plan, err := planner.Plan("plan-"+strings.ToLower(rand.Text()[:12]), o.config.View(), change)
	if err != nil {
		return nil, err
	}
	if len(change.GetEvacuate()) > 0 {
		sidecars, err := o.describeSidecars(ctx)
		if err != nil {
			return nil, platformUnavailable(err)
		}
		plan.Steps = append(plan.Steps, planner.EvacuationSteps(o.config.View(), change, sidecars)...)
	}
	value, err := storer.Encode(plan)
	if err != nil {
		return nil, err
	}
	tx := storer.Transaction{Puts: []storer.Put{{Key: storer.PlanKey(plan.GetId()), Value: value}}}
	if _, err := o.table.Commit(ctx, tx); err != nil {
		return nil, platformUnavailable(err)
	}
	return plan, nil
}

// platformUnavailable returns the refusal of a call that failed because of the
// platform. A write may have taken effect, so it does not say that nothing ran, unless the
// configuration takes no changes for now.
func platformUnavailable(err error) error {
	var unconfirmed *syncer.UnconfirmedError
	if eris.As(err, &unconfirmed) {
		return refuser.New(refuser.PlatformUnavailable, err.Error()).WithRetryAfter(time.Second)
	}
	return refuser.MayHaveRun(refuser.PlatformUnavailable, "the platform does not answer: "+err.Error()).WithRetryAfter(time.Second)
}

// readPlan returns a stored plan and the version of its row.
func (o *Server) readPlan(ctx context.Context, id string) (*wire.Plan, uint64, error) {
	row, err := o.table.Get(ctx, storer.PlanKey(id))
	if err != nil {
		return nil, 0, platformUnavailable(err)
	}
	if row.Version == 0 {
		return nil, 0, refuser.New(refuser.NotFound, "no plan "+id)
	}
	plan := &wire.Plan{}
	return plan, row.Version, storer.Decode(row.Value, plan)
}

// handlePlan answers with a stored plan.
func (o *Server) handlePlan(w http.ResponseWriter, r *http.Request) {
	plan, _, err := o.readPlan(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, plan)
}

// handleConfirm publishes the change of a plan and waits for the entries to have it.
// It is idempotent: confirming a confirmed plan publishes nothing.
func (o *Server) handleConfirm(w http.ResponseWriter, r *http.Request) {
	plan, rowVersion, err := o.readPlan(r.Context(), mux.Vars(r)["id"])
	if err != nil {
		writeError(w, err)
		return
	}
	if plan.GetConfirmed() == 0 {
		err = o.publishPlan(r.Context(), plan, rowVersion, operatorName(r))
	}
	var staleBase *syncer.StaleBaseError
	if eris.As(err, &staleBase) {
		o.handleStaleBase(r.Context(), w, plan, staleBase)
		return
	}
	if err != nil {
		writeError(w, platformUnavailable(err))
		return
	}
	o.waitInForce(r.Context(), plan.GetConfirmed())
	writeJSON(w, http.StatusOK, plan)
}

// publishPlan publishes a plan's change and marks the plan confirmed in the same
// transaction.
func (o *Server) publishPlan(ctx context.Context, plan *wire.Plan, rowVersion uint64, operator string) error {
	plan.Confirmed = plan.GetBase() + 1
	value, err := storer.Encode(plan)
	if err != nil {
		return err
	}
	key := storer.PlanKey(plan.GetId())
	confirmation := storer.Transaction{
		Checks: []storer.Check{{Key: key, Version: rowVersion}},
		Puts:   []storer.Put{{Key: key, Value: value}},
	}
	change := proto.CloneOf(plan.GetChange())
	change.Author = operator
	change.At = time.Now().UnixMilli()
	change.Token = plan.GetId()
	return o.syncer.Publish(ctx, o.clock(), plan.GetBase(), change, confirmation)
}

// handleStaleBase answers a confirmation that failed because the configuration has
// changed since the plan was made. If the plan itself was confirmed meanwhile, it is
// the answer; otherwise the answer is a conflict that lists the changes.
func (o *Server) handleStaleBase(ctx context.Context, w http.ResponseWriter, plan *wire.Plan, e *syncer.StaleBaseError) {
	current, _, err := o.readPlan(ctx, plan.GetId())
	if err == nil && current.GetConfirmed() != 0 {
		writeJSON(w, http.StatusOK, current)
		return
	}
	_ = o.syncer.Pull(ctx, o.clock())
	writeJSON(w, http.StatusConflict, Failure{
		Kind:    refuser.Conflict.String(),
		Text:    e.Error() + "; make a new plan",
		Changes: planner.DescribeChanges(o.config.ChangesAfter(plan.GetBase())),
	})
}

// GrantedKey is the answer to a grant. The key cannot be read again, because only the
// hash of its secret is stored.
type GrantedKey struct {
	ID  string `json:"id"`
	Key string `json:"key"`
	Rollout
}

// handleGrant makes a new key for a workspace and waits for the entries to have it.
func (o *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Workspace string `json:"workspace"`
	}
	body, err := receiver.ReadBody(w, r, maxBodyBytes, 1)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&request); err != nil {
		writeError(w, refuser.New(refuser.InvalidRequest, "the body is not a JSON object with a workspace"))
		return
	}
	secret := rand.Text()
	hash := sha256.Sum256([]byte(secret))
	key := &wire.Key{Id: "key-" + strings.ToLower(rand.Text()[:10]), Hash: hash[:], Workspace: request.Workspace}
	version, err := o.publish(r.Context(), operatorName(r), func(v *configurer.View) (*wire.Change, error) {
		if v.Workspace(request.Workspace) == nil {
			return nil, refuser.New(refuser.NotFound, "no workspace "+request.Workspace)
		}
		return &wire.Change{Keys: []*wire.Key{key}}, nil
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, GrantedKey{
		ID:      key.GetId(),
		Key:     key.GetId() + "." + secret,
		Rollout: o.waitInForce(r.Context(), version),
	})
}

// publish builds a change from the newest configuration and publishes it. If another
// change was published first, it builds and publishes again, at most
// maxPublishAttempts times in all. It returns the version of the change.
func (o *Server) publish(ctx context.Context, operator string, build func(*configurer.View) (*wire.Change, error)) (uint64, error) {
	var err error
	for range maxPublishAttempts {
		if err = o.syncer.Pull(ctx, o.clock()); err != nil {
			return 0, platformUnavailable(err)
		}
		view := o.config.View()
		change, buildErr := build(view)
		if buildErr != nil {
			return 0, buildErr
		}
		change.Author = operator
		change.At = time.Now().UnixMilli()
		change.Token = rand.Text()
		err = o.syncer.Publish(ctx, o.clock(), view.Version(), change, storer.Transaction{})
		var staleBase *syncer.StaleBaseError
		if err == nil {
			return change.GetVersion(), nil
		}
		if !eris.As(err, &staleBase) {
			return 0, platformUnavailable(err)
		}
	}
	return 0, refuser.New(refuser.Conflict, err.Error())
}

// Rollout lists the entries in which a configuration version is in force.
type Rollout struct {
	Version uint64 `json:"version"`
	// InForce names the entries that have the version.
	InForce []string `json:"in_force"`
	// Pending names the entries that do not have the version or did not answer. After
	// a withdrawal they refuse keys until they have it.
	Pending []string `json:"pending,omitempty"`
}

// handleWithdraw removes a key. It answers once every listed entry has the change, or
// once the other entries refuse all keys because their configuration is too old.
func (o *Server) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	version, err := o.publish(r.Context(), operatorName(r), func(v *configurer.View) (*wire.Change, error) {
		if v.Key(id) == nil {
			return nil, refuser.New(refuser.NotFound, "no key "+id)
		}
		return &wire.Change{Drops: []string{"key/" + id}}, nil
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, o.waitInForce(r.Context(), version))
}

// waitInForce queries the configuration versions of all listed entries until each has
// version. It waits at most 1.1 times maxConfigurationAge, after which an entry without
// proof of the newest configuration accepts no keys.
func (o *Server) waitInForce(ctx context.Context, version uint64) Rollout {
	deadline := o.clock() + o.maxConfigurationAge + o.maxConfigurationAge/10
	for {
		rollout := Rollout{Version: version}
		limited, cancel := context.WithTimeout(ctx, inForcePollInterval*5)
		rollout.InForce, rollout.Pending = o.member.RolloutStatus(limited, version)
		cancel()
		if len(rollout.Pending) == 0 || o.clock() >= deadline || ctx.Err() != nil {
			return rollout
		}
		time.Sleep(inForcePollInterval)
	}
}

// Status is the state of the fleet.
type Status struct {
	Rollout
	Instances []storer.Instance `json:"instances"`
	// Skipped are the versions of the changes that this entry lacks because they cannot be
	// read. What they set or withdrew has to be set or withdrawn again.
	Skipped []uint64 `json:"skipped,omitempty"`
	// Evacuated are the evacuated data centres.
	Evacuated []EvacuatedCentre `json:"evacuated,omitempty"`
}

// handleStatus answers with the configuration version here, the entries that have it
// and the listed instances.
func (o *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	_ = o.syncer.Pull(r.Context(), o.clock())
	status := Status{Rollout: Rollout{Version: o.config.View().Version()}, Skipped: o.syncer.Gaps()}
	limited, cancel := context.WithTimeout(r.Context(), dumpTimeout)
	defer cancel()
	status.InForce, status.Pending = o.member.RolloutStatus(limited, status.Version)
	status.Instances = append(o.member.Instances("entry"), o.member.Instances("sidecar")...)
	status.Evacuated = o.describeEvacuated(limited)
	writeJSON(w, http.StatusOK, status)
}

// handleExplain answers with the decision records about a subject from all listed
// processes. Processes that do not answer are left out.
func (o *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	subject := r.URL.Query().Get("subject")
	if subject == "" {
		writeError(w, refuser.New(refuser.InvalidRequest, "field subject: is missing"))
		return
	}
	instances := append(o.member.Instances("entry"), o.member.Instances("sidecar")...)
	records := make([][]recorder.Record, len(instances))
	var wg sync.WaitGroup
	for i, in := range instances {
		wg.Go(func() {
			data, err := o.fetchDump(r.Context(), in.Name, subject)
			if err == nil {
				_ = json.Unmarshal(data, &records[i])
			}
		})
	}
	wg.Wait()
	records = append(records, o.explainCentre(r.Context(), subject))
	writeJSON(w, http.StatusOK, recorder.Merge(records))
}

// handleDump answers with the state of a process, by default this one.
func (o *Server) handleDump(w http.ResponseWriter, r *http.Request) {
	data, err := o.fetchDump(r.Context(), r.URL.Query().Get("instance"), "")
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// fetchDump returns the state of a process as JSON, or its decision records about a
// subject if that is not empty. Without a name it is that of this process.
func (o *Server) fetchDump(ctx context.Context, name, subject string) ([]byte, error) {
	if name == o.member.Self().Name || name == "" {
		return o.dump(subject), nil
	}
	in, ok := o.member.Find(name)
	if !ok {
		return nil, refuser.New(refuser.NotFound, "no instance "+name)
	}
	limited, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Dump{Dump: &wire.Dump{Subject: subject}}}
	res, err := peer.Call(limited, o.caller, in.Address, call)
	if err != nil {
		return nil, refuser.New(refuser.ConnectionLost, err.Error())
	}
	return res.GetText().GetData(), nil
}
