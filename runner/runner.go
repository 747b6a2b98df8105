// Package runner starts an entry or a sidecar from its settings, runs it, and drains
// it when it stops.
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
	"oleanderstall/refuser"
	"oleanderstall/reserver"
	"oleanderstall/resetter"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Limits of a process.
const (
	// headerTimeout bounds the reading of a request's header, idleTimeout the time
	// that a connection may be idle, and maxHeaderBytes the size of a header.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	// largestHead bounds the size of a header whatever the configuration allows.
	largestHead = 1 << 20
	// registerTimeout bounds one call to register or deregister at the platform;
	// registerRetryInterval is the pause after a failed registration.
	registerTimeout       = 2 * time.Second
	registerRetryInterval = 500 * time.Millisecond
	// recorderSize is the number of records that the recorder keeps.
	recorderSize = 4096
)

// Addresses are the addresses on which a process listens, as host:port. An address
// is empty if there is no such listener, or if it opens only after the start, as the
// peer listener on a hosting platform does.
type Addresses struct {
	// Peer is for other processes of the fleet.
	Peer string
	// Admin serves metrics and health.
	Admin string
	// Callers is for requests, Operators for the operators' interface.
	Callers   string
	Operators string
}

// process holds the common parts of an entry and a sidecar that do not run on a hosting
// platform; those that do have a hostedProcess.
type process struct {
	settings *checker.Settings
	log      *log.Logger
	clock    timer.Clock
	node     *peer.Node
	platform *imitator.Client
	config   *configurer.Configurer
	syncer   *syncer.Syncer
	member   *member.Member
	recorder *recorder.Recorder
	meter    *meter.Meter
	guard    *callerGuard
	ready    atomic.Bool
	admin    *httpServer
}

// newProcess opens the peer listener and builds the common parts. The pool is empty
// for an entry.
func newProcess(s *checker.Settings, l *log.Logger, pool string) (*process, error) {
	identity, err := peer.NewIdentity(s.Secret.Reveal(), s.Name)
	if err != nil {
		return nil, err
	}
	node, err := peer.New(s.PeerAddress, identity)
	if err != nil {
		return nil, err
	}
	p := &process{
		settings: s,
		log:      l,
		clock:    timer.Now,
		node:     node,
		platform: imitator.NewClient(s.PlatformURL),
		config:   configurer.New(),
		recorder: recorder.New(s.Name, recorderSize),
		meter:    meter.New(),
	}
	p.guard = newCallerGuard(0, p.clock, p.meter, l)
	p.syncer = syncer.New(p.platform, p.platform, p.config)
	self := storer.Instance{
		Name:    s.Name,
		Role:    s.Role,
		Centre:  s.Centre,
		Pool:    pool,
		Address: node.Address(),
		Started: time.Now().UnixNano(),
	}
	p.member = member.New(self, p.clock, node, p.platform, p.syncer, p.config, l)
	return p, nil
}

// Meter returns the metrics of the process.
func (p *process) Meter() *meter.Meter { return p.meter }

// Reload does nothing: of changed settings, a running process applies only the log
// level, which Reloader sets.
func (p *process) Reload(*checker.Settings) {}

// register registers the process at the platform, with retries until it succeeds or
// ctx ends.
func (p *process) register(ctx context.Context) {
	for {
		limited, cancel := context.WithTimeout(ctx, registerTimeout)
		err := p.platform.Register(limited, p.member.Self())
		cancel()
		if err == nil {
			p.member.Wake()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetryInterval):
		}
	}
}

// reportLeaving marks the process as leaving at the platform, or removes it from the
// platform's list once it has stopped.
func (p *process) reportLeaving(stopped bool) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	self := p.member.Self()
	self.Leaving = true
	var err error
	if stopped {
		err = p.platform.Deregister(ctx, self.Name)
	} else {
		err = p.platform.Register(ctx, self)
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("stop: the departure was not reported to the platform")
	}
}

// listedAsLeaving reports whether the platform lists this process as leaving. An
// earlier process of the same name does not count.
func (p *process) listedAsLeaving() bool {
	self := p.member.Self()
	in, ok := p.member.Find(self.Name)
	return ok && in.Leaving && in.Started == self.Started
}

// leavingPollInterval is the time between two checks of whether the process is listed
// as leaving.
const leavingPollInterval = 500 * time.Millisecond

// stopRequested returns a channel that is closed when ctx ends or the platform
// lists the process as leaving.
func (p *process) stopRequested(ctx context.Context) <-chan struct{} {
	requested := make(chan struct{})
	go func() {
		defer close(requested)
		tick := time.NewTicker(leavingPollInterval)
		defer tick.Stop()
		for !p.listedAsLeaving() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
	return requested
}

// startAdmin starts the admin listener, if its address is set.
func (p *process) startAdmin() (err error) {
	p.admin, err = startAdminServer(p.settings.AdminAddress, p.meter, p.ready.Load, p.guard)
	return err
}

// reportConfigVersion updates the metric of the configuration's version every second
// until ctx ends.
func (p *process) reportConfigVersion(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		p.meter.RecordConfigVersion(p.config.View().Version())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// addresses returns the addresses of the common listeners.
func (p *process) addresses() Addresses {
	return Addresses{Peer: p.node.Address(), Admin: p.admin.address()}
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	server   *http.Server
	listener *drainListener
	// secure is set if the connections use TLS.
	secure bool
	// endRequests ends the contexts of all requests with a cause.
	endRequests context.CancelCauseFunc
	// stopped is closed when the server has stopped.
	stopped chan struct{}
}

// errStopping is the cause with which requests end that are still active at the end of a stop.
var errStopping = refuser.MayHaveRun(refuser.DeadlineExceeded, "the process stops")

// answerTime is how long requests that a stop has ended have for their answers.
const answerTime = 200 * time.Millisecond

// startServer serves handler on an address, with TLS if tlsConfig is not nil. The guard bounds what
// its connections hold.
func startServer(address string, handler http.Handler, tlsConfig *tls.Config, guard *callerGuard, group reserver.Group) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return serveListener(listener, handler, tlsConfig, guard.listener(group, tlsConfig != nil)), nil
}

// serveListener serves handler on a listener, with TLS if tlsConfig is not nil. Without a guard,
// net/http bounds heads and idle times.
func serveListener(inner net.Listener, handler http.Handler, tlsConfig *tls.Config, guard *listenerGuard) *httpServer {
	listener := newDrainListener(inner, guard)
	requests, endRequests := context.WithCancelCause(context.Background())
	if guard != nil {
		handler = guard.wrap(handler)
	}
	s := &httpServer{
		server: &http.Server{
			BaseContext:       func(net.Listener) context.Context { return requests },
			Handler:           listener.closeAfterAnswer(handler),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnContext:       connContext,
			ConnState:         recordState,
			TLSConfig:         tlsConfig.Clone(),
		},
		listener:    listener,
		secure:      tlsConfig != nil,
		endRequests: endRequests,
		stopped:     make(chan struct{}),
	}
	if guard != nil && !guard.untimed {
		// The guard enforces the limits in force, which may be higher than these.
		s.server.ReadHeaderTimeout, s.server.IdleTimeout, s.server.MaxHeaderBytes = 0, 0, largestHead
	}
	go s.serve()
	return s
}

// connContext is the ConnContext of the servers.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return withConn(resetter.WithConn(ctx, conn), conn)
}

// serve accepts connections until the server is shut down.
func (s *httpServer) serve() {
	defer close(s.stopped)
	var err error
	if s.secure {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) && !s.listener.isStopping() {
		log.Error().Err(err).Msg("listen: server failed")
	}
}

// address returns the listener's address, or "" for a nil server.
func (s *httpServer) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// stop closes the listener and waits for the active requests. Those that are left when ctx ends are
// ended with errStopping; connections that still have no whole answer after answerTime are closed. It
// does nothing for a nil server.
func (s *httpServer) stop(ctx context.Context) {
	if s == nil {
		return
	}
	if s.awaitRequests(ctx) != nil {
		s.endRequests(errStopping)
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
		defer cancel()
		if s.awaitRequests(answerCtx) != nil {
			_ = s.server.Close()
		}
	}
	s.endRequests(nil)
	<-s.stopped
}

// awaitRequests waits until no request is active. It returns the error of ctx if that ends before. With
// TLS, where a connection may carry many requests at a time, net/http ends the connections.
func (s *httpServer) awaitRequests(ctx context.Context) error {
	if !s.secure {
		s.listener.stop(ctx)
	}
	return s.server.Shutdown(ctx)
}

// taskGroup runs tasks with a common context and waits for them.
type taskGroup struct {
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// newTaskGroup returns a group without tasks.
func newTaskGroup() *taskGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &taskGroup{ctx: ctx, cancel: cancel}
}

// run starts a task, which has to return when its context is done.
func (g *taskGroup) run(task func(ctx context.Context)) {
	g.running.Go(func() { task(g.ctx) })
}

// stop cancels the context of the tasks and waits until all have returned.
func (g *taskGroup) stop() {
	g.cancel()
	g.running.Wait()
}

// textReply returns data as the reply to a call of another process.
func textReply(data []byte) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Text{Text: &wire.Text{Data: data}}}
}

// encodeJSON returns v as JSON, or null if it cannot be encoded.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("null")
	}
	return data
}
