package runner

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/caller"
	"oleanderstall/checker"
	"oleanderstall/dispatcher"
	"oleanderstall/holder"
	"oleanderstall/operator"
	"oleanderstall/peer"
	"oleanderstall/placer"
	"oleanderstall/refuser"
	"oleanderstall/reserver"
	"oleanderstall/restorer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Entry is a running entry that is not on a hosting platform.
type Entry struct {
	*process
	holder     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	// claims are the calls that sidecars claim by an idempotency key.
	claims    *restorer.Restorer
	callers   *httpServer
	operators *httpServer
	tasks     *taskGroup
}

// StartEntry starts an entry. It returns once all listeners are open.
func StartEntry(s *checker.Settings, l *log.Logger) (*Entry, error) {
	p, err := newProcess(s, l, "")
	if err != nil {
		return nil, err
	}
	e := &Entry{process: p, tasks: newTaskGroup()}
	options := holder.Options{Shards: s.ShardCount, Lease: time.Duration(s.ShardLease)}
	e.holder = holder.New(options, p.clock, p.node, p.platform, p.member, p.recorder, p.meter, l)
	e.claims = restorer.New("", p.platform, p.clock, l)
	e.dispatcher = dispatcher.New(s.ShardCount, p.clock, p.node, p.member, e.holder, e.claims, p.recorder, p.meter, l)
	if err := e.listen(); err != nil {
		p.node.Close()
		return nil, err
	}
	e.tasks.run(func(ctx context.Context) { p.node.Serve(ctx, e.handle) })
	e.tasks.run(p.guard.run)
	e.tasks.run(p.register)
	e.tasks.run(p.member.Run)
	e.tasks.run(e.holder.Run)
	e.tasks.run(e.dispatcher.ShareCrashes)
	e.tasks.run(e.keepCrashes)
	e.tasks.run(e.claims.Run)
	e.tasks.run(p.reportConfigVersion)
	p.ready.Store(true)
	return e, nil
}

// Addresses returns the addresses on which the entry listens.
func (e *Entry) Addresses() Addresses {
	a := e.addresses()
	a.Callers = e.callers.address()
	a.Operators = e.operators.address()
	return a
}

// listen opens the listeners for callers, operators and the admin endpoints.
func (e *Entry) listen() error {
	s := e.settings.Entry
	options := caller.Options{
		MaxBodyBytes:        s.MaxBodyBytes,
		DefaultTimeout:      time.Duration(s.DefaultTimeout),
		MaxTimeout:          time.Duration(s.MaxTimeout),
		DefaultOutputTokens: s.DefaultOutputTokens,
		MaxConfigurationAge: time.Duration(s.MaxConfigurationAge),
	}
	config, err := callerTLS(s.CertificateFile, s.KeyFile)
	if err != nil {
		return err
	}
	if e.callers, err = startServer(s.CallerAddress, caller.New(options, e.clock, e.dispatcher, e.member), config, e.guard, reserver.Callers); err != nil {
		return err
	}
	if s.OperatorAddress != "" {
		if e.operators, err = startServer(s.OperatorAddress, e.operatorHandler(), config, e.guard, reserver.Callers); err != nil {
			return err
		}
	}
	return e.startAdmin()
}

// operatorHandler returns the handler of the operators' interface.
func (e *Entry) operatorHandler() http.Handler {
	var accounts []operator.Account
	for _, a := range e.settings.Entry.Accounts {
		accounts = append(accounts, operator.Account{Name: a.Name, Token: a.Token.Reveal()})
	}
	maxConfigurationAge := time.Duration(e.settings.Entry.MaxConfigurationAge)
	return operator.New(accounts, maxConfigurationAge, e.clock, e.node, e.platform, e.syncer, e.config, e.member, e.dump, e.log)
}

// Run serves until ctx ends or the platform lists the entry as leaving, and then
// drains it.
func (e *Entry) Run(ctx context.Context) {
	<-e.stopRequested(ctx)
	e.Stop()
}

// Stop drains the entry and returns when it has stopped. The entry first becomes not
// ready and is marked as leaving, and serves for the grace period, so that the load
// balancer stops sending requests. Then it finishes the active requests, releases the
// shards and deregisters.
func (e *Entry) Stop() {
	e.log.Info().Msg("stop: draining")
	e.ready.Store(false)
	e.reportLeaving(false)
	time.Sleep(time.Duration(e.settings.Entry.ShutdownDelay))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Entry.MaxTimeout))
	defer cancel()
	e.callers.stop(ctx)
	e.operators.stop(ctx)
	e.tasks.cancel()
	<-e.holder.Done()
	e.node.Close()
	e.tasks.stop()
	e.reportLeaving(true)
	e.admin.stop(ctx)
	e.log.Info().Msg("stop: complete")
}

// handle replies to one call of another process.
func (e *Entry) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	reply, err := e.answer(ctx, call)
	if err != nil {
		reply = refuser.FromError(err).Reply()
	}
	_ = s.Send(reply)
}

// doneReply is the reply to a call that succeeded without a result.
var doneReply = &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}

// answer returns the reply to a call, or an error that becomes a refusal.
func (e *Entry) answer(ctx context.Context, call *wire.Call) (*wire.Reply, error) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Ask:
		place, err := e.holder.FindReplicas(ctx, b.Ask)
		return &wire.Reply{Body: &wire.Reply_Place{Place: place}}, err
	case *wire.Call_Charge:
		grant, err := e.holder.Charge(b.Charge)
		return &wire.Reply{Body: &wire.Reply_Grant{Grant: grant}}, err
	case *wire.Call_Refund:
		return doneReply, e.holder.Refund(b.Refund)
	case *wire.Call_Promise:
		return e.holder.HandlePromise(b.Promise), nil
	case *wire.Call_Probe:
		return e.member.AnswerProbe(ctx, b.Probe), nil
	case *wire.Call_Free:
		return doneReply, e.holder.MarkUnloaded(ctx, b.Free)
	case *wire.Call_Leave:
		e.dispatcher.MarkLeaving(b.Leave)
		e.holder.MarkLeaving(b.Leave)
		return doneReply, nil
	case *wire.Call_Crashes:
		return &wire.Reply{Body: &wire.Reply_Crashes{Crashes: e.dispatcher.ReceiveCrashes(b.Crashes)}}, nil
	case *wire.Call_Dump:
		return textReply(e.dump(b.Dump.GetSubject())), nil
	}
	return nil, refuser.New(refuser.InvalidRequest, "an entry does not answer this call")
}

// EntryDump is the dump of an entry, as JSON.
type EntryDump struct {
	Instance string            `json:"instance"`
	Settings *checker.Settings `json:"settings"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"config"`
	// Fresh is set if the configuration was proven to be the newest within the time that
	// the settings demand.
	Fresh     bool                     `json:"fresh"`
	Shards    []holder.Shard           `json:"shards"`
	Replicas  map[string][]placer.Slot `json:"replicas"`
	Instances []storer.Instance        `json:"instances"`
}

// dump returns the records about a subject as JSON, or the entry's state if the subject
// is empty.
func (e *Entry) dump(subject string) []byte {
	if subject != "" {
		return encodeJSON(e.recorder.BySubject(subject))
	}
	return encodeJSON(EntryDump{
		Instance:      e.settings.Name,
		Settings:      e.settings,
		ConfigVersion: e.config.View().Version(),
		Fresh:         e.member.Fresh(e.clock(), time.Duration(e.settings.Entry.MaxConfigurationAge)),
		Shards:        e.holder.Shards(),
		Replicas:      e.holder.Replicas(),
		Instances:     append(e.member.Instances("entry"), e.member.Instances("sidecar")...),
	})
}

// reloadingCertificate holds a certificate and loads it again when its file has changed.
// It is safe for concurrent use.
type reloadingCertificate struct {
	certificateFile, keyFile string
	mu                       sync.Mutex
	modified                 time.Time
	loaded                   *tls.Certificate
}

// callerTLS returns the TLS configuration of the listeners for callers and operators, or
// nil for plain HTTP if certFile is empty. It returns an error if the certificate cannot
// be loaded.
func callerTLS(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	c := &reloadingCertificate{certificateFile: certFile, keyFile: keyFile}
	if _, err := c.load(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.load}, nil
}

// load implements tls.Config.GetCertificate. It loads the certificate again if the
// file's modification time has changed. If that fails, the old certificate stays in use.
func (c *reloadingCertificate) load(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificateFile)
	if err == nil && c.loaded != nil && info.ModTime().Equal(c.modified) {
		return c.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err == nil {
		c.loaded = &pair
		c.modified = info.ModTime()
	}
	if c.loaded == nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	return c.loaded, nil
}
