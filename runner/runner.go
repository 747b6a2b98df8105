// Package runner assembles a process of the fleet from its settings: an entry or
// a sidecar, with its listeners, and stops it without cutting a request.
package runner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/checker"
	"oleanderstall/configurer"
	"oleanderstall/imitator"
	"oleanderstall/member"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of a process's listeners and of its stop.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeader      = 32 << 10
	registerLimit  = 2 * time.Second
	registerPeriod = 500 * time.Millisecond
	records        = 4096
)

// Addresses are where a process listens, once it does.
type Addresses struct {
	Peer      string
	Admin     string
	Callers   string
	Operators string
}

// process is what both roles have in common.
type process struct {
	settings *checker.Settings
	log      *log.Logger
	clock    timer.Clock
	node     *peer.Node
	platform *imitator.Client
	copy     *configurer.Configurer
	sync     *syncer.Syncer
	member   *member.Member
	recorder *recorder.Recorder
	meter    *meter.Meter
	ready    atomic.Bool
	admin    *server
}

// newProcess opens the peer listener and builds the common parts.
func newProcess(s *checker.Settings, l *log.Logger, pool string) (*process, error) {
	identity, err := peer.NewIdentity(s.Secret.Reveal(), s.Name)
	if err != nil {
		return nil, err
	}
	node, err := peer.New(s.Peer, identity)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s,
		log:      l,
		clock:    timer.Now,
		node:     node,
		platform: imitator.NewClient(s.Platform),
		copy:     configurer.New(),
		recorder: recorder.New(s.Name, records),
		meter:    meter.New(),
	}
	p.sync = syncer.New(p.platform, p.platform, p.copy)
	self := storer.Instance{
		Name:    s.Name,
		Role:    s.Role,
		Centre:  s.Centre,
		Pool:    pool,
		Address: node.Address(),
		Started: time.Now().UnixNano(),
	}
	p.member = member.New(self, p.clock, node, p.platform, p.sync, p.copy, l)
	return p, nil
}

// Meter returns the metrics of the process.
func (p *process) Meter() *meter.Meter { return p.meter }

// Reload implements the reaction to changed settings; the log level is all that a
// running process changes.
func (p *process) Reload(*checker.Settings) {}

// register announces the process until the platform has taken it.
func (p *process) register(ctx context.Context) {
	for {
		limited, cancel := context.WithTimeout(ctx, registerLimit)
		err := p.platform.Register(limited, p.member.Self())
		cancel()
		if err == nil {
			p.member.Wake()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerPeriod):
		}
	}
}

// leave tells the platform that the process leaves, or has left.
func (p *process) leave(gone bool) {
	ctx, cancel := context.WithTimeout(context.Background(), registerLimit)
	defer cancel()
	self := p.member.Self()
	self.Leaving = true
	var err error
	if gone {
		err = p.platform.Deregister(ctx, self.Name)
	} else {
		err = p.platform.Register(ctx, self)
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("stop: the platform was not told")
	}
}

// listed reports whether the platform lists this process as leaving.
func (p *process) listed() bool {
	self := p.member.Self()
	in, ok := p.member.Find(self.Name)
	return ok && in.Leaving && in.Started == self.Started
}

// leaveCheck is the time between two looks at the process's own line.
const leaveCheck = 500 * time.Millisecond

// notice is closed when ctx ends or the platform lists the process as leaving.
func (p *process) notice(ctx context.Context) <-chan struct{} {
	told := make(chan struct{})
	go func() {
		defer close(told)
		tick := time.NewTicker(leaveCheck)
		defer tick.Stop()
		for !p.listed() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
	return told
}

// startAdmin serves metrics and health.
func (p *process) startAdmin() (err error) {
	p.admin, err = listenAdmin(p.settings.Admin, p.meter, p.ready.Load)
	return err
}

// watchConfig keeps the version metric.
func (p *process) watchConfig(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		p.meter.Config(p.copy.View().Version())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *process) addresses() Addresses {
	return Addresses{Peer: p.node.Address(), Admin: p.admin.address()}
}

// server is one HTTP listener.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// listen serves h on an address, with TLS if config is set.
func listen(address string, h http.Handler, config *tls.Config) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	s := &server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
			TLSConfig:         config.Clone(),
		},
		listener: l,
		done:     make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

func (s *server) serve() {
	defer close(s.done)
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("listen: stopped")
	}
}

func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// stop waits for the requests in hand, for as long as ctx allows.
func (s *server) stop(ctx context.Context) {
	if s == nil {
		return
	}
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	<-s.done
}

// group runs tasks that end with a context.
type group struct {
	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func newGroup() *group {
	ctx, cancel := context.WithCancel(context.Background())
	return &group{ctx: ctx, cancel: cancel}
}

func (g *group) run(task func(ctx context.Context)) {
	g.tasks.Go(func() { task(g.ctx) })
}

func (g *group) stop() {
	g.cancel()
	g.tasks.Wait()
}

// textReply wraps a dump.
func textReply(data []byte) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Text{Text: &wire.Text{Data: data}}}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("null")
	}
	return data
}
