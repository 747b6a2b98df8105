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
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Entry is a running entry process.
type Entry struct {
	*process
	holder     *holder.Holder
	dispatcher *dispatcher.Dispatcher
	callers    *server
	operators  *server
	tasks      *group
}

// StartEntry starts an entry. It returns once all listeners are open.
func StartEntry(s *checker.Settings, l *log.Logger) (*Entry, error) {
	p, err := newProcess(s, l, "")
	if err != nil {
		return nil, err
	}
	e := &Entry{process: p, tasks: newGroup()}
	terms := holder.Options{Shards: s.Shards, Lease: time.Duration(s.Lease)}
	e.holder = holder.New(terms, p.clock, p.node, p.platform, p.member, p.recorder, p.meter, l)
	e.dispatcher = dispatcher.New(s.Shards, p.clock, p.node, p.member, e.holder, p.recorder, p.meter, l)
	if err := e.listen(); err != nil {
		p.node.Close()
		return nil, err
	}
	e.tasks.run(func(ctx context.Context) { p.node.Serve(ctx, e.handle) })
	e.tasks.run(p.register)
	e.tasks.run(p.member.Run)
	e.tasks.run(e.holder.Run)
	e.tasks.run(p.watchConfig)
	p.ready.Store(true)
	return e, nil
}

// Addresses returns where the entry listens.
func (e *Entry) Addresses() Addresses {
	a := e.addresses()
	a.Callers = e.callers.address()
	a.Operators = e.operators.address()
	return a
}

func (e *Entry) listen() error {
	s := e.settings.Entry
	terms := caller.Terms{
		Body:     s.Body,
		Deadline: time.Duration(s.Deadline),
		Longest:  time.Duration(s.Longest),
		Output:   s.Output,
		Fresh:    time.Duration(s.Fresh),
	}
	config, err := certificate(s.Certificate, s.Key)
	if err != nil {
		return err
	}
	if e.callers, err = listen(s.Callers, caller.New(terms, e.clock, e.dispatcher, e.member), config); err != nil {
		return err
	}
	if s.Operators != "" {
		if e.operators, err = listen(s.Operators, e.operatorHandler(), config); err != nil {
			return err
		}
	}
	return e.startAdmin()
}

func (e *Entry) operatorHandler() http.Handler {
	var accounts []operator.Account
	for _, a := range e.settings.Entry.Accounts {
		accounts = append(accounts, operator.Account{Name: a.Name, Token: a.Token.Reveal()})
	}
	fresh := time.Duration(e.settings.Entry.Fresh)
	return operator.New(accounts, fresh, e.clock, e.node, e.platform, e.sync, e.copy, e.member, e.dump, e.log)
}

// Run serves until ctx ends or the platform lists the entry as leaving, and then
// drains.
func (e *Entry) Run(ctx context.Context) {
	<-e.notice(ctx)
	e.Stop()
}

// Stop drains the entry: the balancer is told first, then the requests in hand
// are finished, then the shards are given up.
func (e *Entry) Stop() {
	e.log.Info().Msg("stop: draining")
	e.ready.Store(false)
	e.leave(false)
	time.Sleep(time.Duration(e.settings.Entry.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Entry.Longest))
	defer cancel()
	e.callers.stop(ctx)
	e.operators.stop(ctx)
	e.tasks.cancel()
	<-e.holder.Done()
	e.node.Close()
	e.tasks.stop()
	e.leave(true)
	e.admin.stop(ctx)
	e.log.Info().Msg("stop: complete")
}

// handle answers one call of another process.
func (e *Entry) handle(ctx context.Context, call *wire.Call, s peer.Stream) {
	reply, err := e.answer(ctx, call)
	if err != nil {
		reply = refuser.Of(err).Reply()
	}
	_ = s.Send(reply)
}

var done = &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Done{}}}

func (e *Entry) answer(ctx context.Context, call *wire.Call) (*wire.Reply, error) {
	switch b := call.GetBody().(type) {
	case *wire.Call_Ask:
		place, err := e.holder.Ask(ctx, b.Ask)
		return &wire.Reply{Body: &wire.Reply_Place{Place: place}}, err
	case *wire.Call_Charge:
		grant, err := e.holder.Charge(b.Charge)
		return &wire.Reply{Body: &wire.Reply_Grant{Grant: grant}}, err
	case *wire.Call_Refund:
		return done, e.holder.Refund(b.Refund)
	case *wire.Call_Promise:
		return e.holder.Promise(b.Promise), nil
	case *wire.Call_Probe:
		return e.member.Answer(ctx, b.Probe), nil
	case *wire.Call_Free:
		return done, e.holder.Free(ctx, b.Free)
	case *wire.Call_Leave:
		e.dispatcher.Leave(b.Leave)
		e.holder.Leave(b.Leave)
		return done, nil
	case *wire.Call_Dump:
		return textReply(e.dump(b.Dump.GetSubject())), nil
	}
	return nil, refuser.New(refuser.Invalid, "an entry does not answer this call")
}

// State is the dump of an entry.
type State struct {
	Instance  string                   `json:"instance"`
	Settings  *checker.Settings        `json:"settings"`
	Config    uint64                   `json:"config"`
	Fresh     bool                     `json:"fresh"`
	Shards    []holder.Shard           `json:"shards"`
	Replicas  map[string][]placer.Slot `json:"replicas"`
	Instances []storer.Instance        `json:"instances"`
}

func (e *Entry) dump(subject string) []byte {
	if subject != "" {
		return encode(e.recorder.About(subject))
	}
	return encode(State{
		Instance:  e.settings.Name,
		Settings:  e.settings,
		Config:    e.copy.View().Version(),
		Fresh:     e.member.Fresh(e.clock(), time.Duration(e.settings.Entry.Fresh)),
		Shards:    e.holder.Shards(),
		Replicas:  e.holder.Replicas(),
		Instances: append(e.member.Instances("entry"), e.member.Instances("sidecar")...),
	})
}

// keyPair holds a certificate and loads it again when its file has changed.
type keyPair struct {
	certificate, key string
	mu               sync.Mutex
	at               time.Time
	pair             *tls.Certificate
}

// certificate returns the TLS settings towards callers, or nil for plain HTTP.
func certificate(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	k := &keyPair{certificate: cert, key: key}
	if _, err := k.load(nil); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.load}, nil
}

// load returns the certificate, read again if the file is newer. A new file that
// cannot be read leaves the old certificate in use.
func (k *keyPair) load(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.certificate)
	if err == nil && k.pair != nil && info.ModTime().Equal(k.at) {
		return k.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err == nil {
		k.pair = &pair
		k.at = info.ModTime()
	}
	if k.pair == nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	return k.pair, nil
}
