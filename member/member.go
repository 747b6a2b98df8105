// Package member keeps a process informed of the fleet: which instances live,
// and which configuration is in force.
//
// An entry has to know that its configuration is the newest, since a withdrawn
// key must stop working within seconds. The proof is a read of the platform's
// head row; an answer of another entry that has such a proof; or, if the whole
// platform is out, the answers of all other entries that none has a newer
// version. Withdrawals pass through entries only, so the last is sufficient; the
// silence of one entry is not.
package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/configurer"
	"oleanderstall/peer"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Periods of the polls; each is shortened at random by up to a fifth, so that
// the fleet's polls spread.
const (
	entryPoll   = time.Second
	sidecarPoll = 4 * time.Second
	listPeriod  = 1800 * time.Millisecond
	probeLimit  = 700 * time.Millisecond
	pollLimit   = 900 * time.Millisecond
)

// Member is a process's knowledge of the fleet. It is safe for concurrent use.
type Member struct {
	self   storer.Instance
	clock  timer.Clock
	caller peer.Caller
	lister storer.Lister
	copy   *configurer.Configurer
	sync   *syncer.Syncer
	log    *log.Logger
	kick   chan struct{}
	done   chan struct{}
	// polling is held by a caller of Reach or Refresh that asks the platform.
	polling sync.Mutex
	mu      sync.Mutex
	list    []storer.Instance
	tag     string
	begun   time.Duration
	listed  time.Duration
	absent  map[string]time.Duration
}

// New returns a member that has seen nothing yet.
func New(self storer.Instance, clock timer.Clock, caller peer.Caller, lister storer.Lister, s *syncer.Syncer, c *configurer.Configurer, l *log.Logger) *Member {
	return &Member{
		self:   self,
		clock:  clock,
		caller: caller,
		lister: lister,
		copy:   c,
		sync:   s,
		log:    l,
		kick:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		absent: map[string]time.Duration{},
	}
}

// Self returns this process's line of the instance list.
func (m *Member) Self() storer.Instance { return m.self }

// View returns the configuration in force here.
func (m *Member) View() *configurer.View { return m.copy.View() }

// Done is closed when Run has returned.
func (m *Member) Done() <-chan struct{} { return m.done }

// Run polls the platform until ctx ends.
func (m *Member) Run(ctx context.Context) {
	defer close(m.done)
	period := sidecarPoll
	if m.self.Role == "entry" {
		period = entryPoll
	}
	for {
		m.Poll(ctx)
		wait := time.NewTimer(period - rand.N(period/5))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		case <-m.kick:
		}
		wait.Stop()
	}
}

// Wake makes Run poll at once.
func (m *Member) Wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Poll reads the instance list and the configuration once, and asks the other
// entries for proof if the platform gave none.
func (m *Member) Poll(ctx context.Context) {
	sent := m.clock()
	limited, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { m.refresh(limited) })
	before := m.View().Version()
	err := m.sync.Pull(limited, sent)
	wg.Wait()
	if now := m.View().Version(); now != before {
		m.log.Info().Uint64("version", now).Msg("config: in force")
	}
	if err != nil && ctx.Err() == nil {
		m.log.Warn().Err(err).Msg("config: platform gave no proof")
		m.askEntries(ctx)
	}
}

// Reach brings the configuration up to a version that another process has. Of
// several callers at once, one asks the platform.
func (m *Member) Reach(ctx context.Context, version uint64) {
	m.polling.Lock()
	defer m.polling.Unlock()
	if m.View().Version() < version {
		m.Poll(ctx)
	}
}

// Refresh makes sure that the configuration is known to be the newest within the
// time bound, and reports whether it is. Of several callers at once, one asks the
// platform.
func (m *Member) Refresh(ctx context.Context, bound time.Duration) bool {
	m.polling.Lock()
	defer m.polling.Unlock()
	if !m.Fresh(m.clock(), bound) {
		m.Poll(ctx)
	}
	return m.Fresh(m.clock(), bound)
}

// refresh reads the instance list.
func (m *Member) refresh(ctx context.Context) {
	m.mu.Lock()
	tag := m.tag
	due := tag == "" || m.clock()-m.listed >= listPeriod
	m.mu.Unlock()
	if !due {
		return
	}
	list, tag, err := m.lister.Instances(ctx, tag)
	var same *storer.UnchangedError
	if err != nil && !eris.As(err, &same) {
		return
	}
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = now
	if same != nil {
		return
	}
	m.tag = tag
	for _, in := range m.list {
		if !named(list, in.Name) && m.absent[in.Name] == 0 {
			m.absent[in.Name] = now
		}
	}
	for _, in := range list {
		delete(m.absent, in.Name)
	}
	m.list = list
	if m.begun == 0 {
		m.begun = now
	}
}

func named(list []storer.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in storer.Instance) bool { return in.Name == name })
}

// Instances returns the listed instances of a role.
func (m *Member) Instances(role string) []storer.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.list), func(in storer.Instance) bool { return in.Role != role })
}

// Find returns the listed instance of that name.
func (m *Member) Find(name string) (storer.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.list {
		if in.Name == name {
			return in, true
		}
	}
	return storer.Instance{}, false
}

// Gone reports whether the platform has not listed name for the time d. A name
// that was never listed counts from the first list that this process read.
func (m *Member) Gone(now time.Duration, name string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.begun == 0 || named(m.list, name) {
		return false
	}
	return now-max(m.begun, m.absent[name]) >= d
}

// Fresh reports whether at now the configuration is known to have been the
// newest within the time bound.
func (m *Member) Fresh(now, bound time.Duration) bool {
	at, ok := m.sync.Proven()
	return ok && now-at <= bound
}

// askEntries looks for a proof at the other entries. An entry asks the relay of
// its data centre. A relay asks all entries of its centre, and the relays of the
// other centres for theirs, so that nobody asks the whole fleet.
func (m *Member) askEntries(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	relay := m.relay(m.self.Centre)
	sent := m.clock()
	if relay.Name != m.self.Name {
		m.weigh(sent, []*wire.ProbeResult{m.probe(limited, relay.Address, false)}, false)
		return
	}
	var relays []storer.Instance
	for _, centre := range m.centres() {
		if centre != m.self.Centre {
			relays = append(relays, m.relay(centre))
		}
	}
	var far []*wire.ProbeResult
	var wg sync.WaitGroup
	wg.Go(func() { far = m.probeAll(limited, relays, true) })
	near := m.probeAll(limited, m.neighbours(), false)
	wg.Wait()
	m.weigh(sent, append(near, far...), m.complete(near, far))
}

// complete reports whether every entry has answered.
func (m *Member) complete(near, far []*wire.ProbeResult) bool {
	_, listed := m.Find(m.self.Name)
	missing := func(n *wire.ProbeResult) bool { return n == nil }
	partial := func(n *wire.ProbeResult) bool { return !n.GetComplete() }
	return listed && !slices.ContainsFunc(near, missing) && !slices.ContainsFunc(far, partial)
}

// relay returns the entry that gathers the answers of a data centre. All who
// have the same list choose the same one.
func (m *Member) relay(centre string) storer.Instance {
	key := router.Hash(centre)
	var best storer.Instance
	for _, in := range m.Instances("entry") {
		if in.Centre == centre && (best.Name == "" || router.Score(in.Name, key) > router.Score(best.Name, key)) {
			best = in
		}
	}
	return best
}

// centres returns the data centres that have entries.
func (m *Member) centres() []string {
	var names []string
	for _, in := range m.Instances("entry") {
		if !slices.Contains(names, in.Centre) {
			names = append(names, in.Centre)
		}
	}
	return names
}

// neighbours returns the other entries of this data centre.
func (m *Member) neighbours() []storer.Instance {
	return slices.DeleteFunc(m.Instances("entry"), func(in storer.Instance) bool {
		return in.Name == m.self.Name || in.Centre != m.self.Centre
	})
}

// probeAll probes all of list at once; nil stands for silence.
func (m *Member) probeAll(ctx context.Context, list []storer.Instance, gather bool) []*wire.ProbeResult {
	news := make([]*wire.ProbeResult, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		wg.Go(func() { news[i] = m.probe(ctx, in.Address, gather) })
	}
	wg.Wait()
	return news
}

func (m *Member) probe(ctx context.Context, address string, gather bool) *wire.ProbeResult {
	p := &wire.Probe{Version: m.View().Version(), Gather: gather}
	reply, err := peer.One(ctx, m.caller, address, &wire.Call{Body: &wire.Call_Probe{Probe: p}})
	if err != nil {
		return nil
	}
	return reply.GetNews()
}

// weigh applies what others answered to probes sent at sent. If the answers are
// of all entries and none has a newer version, they are the proof.
func (m *Member) weigh(sent time.Duration, news []*wire.ProbeResult, all bool) {
	for _, n := range news {
		m.take(n.GetChanges())
	}
	version := m.View().Version()
	behind := false
	for _, n := range news {
		behind = behind || n.GetVersion() > version
		if n.GetProven() && n.GetVersion() <= version {
			m.sync.Prove(sent - timer.FromMillis(n.GetAge()))
		}
	}
	if all && !behind {
		m.sync.Prove(sent)
	}
}

func (m *Member) take(changes []*wire.Change) {
	for _, c := range changes {
		if err := m.copy.Apply(c); err != nil {
			return
		}
	}
}

// Answer answers the probe of another entry. A probe with a newer version makes
// this process poll at once.
func (m *Member) Answer(ctx context.Context, p *wire.Probe) *wire.Reply {
	if p.GetVersion() > m.View().Version() {
		m.Wake()
	}
	news := &wire.ProbeResult{}
	if p.GetGather() {
		m.gather(ctx, news)
	}
	version := m.View().Version()
	news.Version = max(news.GetVersion(), version)
	news.Changes = m.copy.After(p.GetVersion())
	if at, ok := m.sync.Proven(); ok && news.Version == version {
		news.Age = timer.ToMillis(m.clock() - at)
		news.Proven = true
	}
	return &wire.Reply{Body: &wire.Reply_News{News: news}}
}

// gatherLimit bounds the questions of a relay on behalf of another one.
const gatherLimit = probeLimit / 2

// gather asks the entries of this data centre and brings this copy up to theirs.
func (m *Member) gather(ctx context.Context, news *wire.ProbeResult) {
	limited, cancel := context.WithTimeout(ctx, gatherLimit)
	defer cancel()
	near := m.probeAll(limited, m.neighbours(), false)
	for _, n := range near {
		m.take(n.GetChanges())
		news.Version = max(news.GetVersion(), n.GetVersion())
	}
	news.Complete = m.complete(near, nil)
}

// InForce asks every listed entry whether it has the version. It returns the
// names of those that have and of those that have not, or did not answer.
func (m *Member) InForce(ctx context.Context, version uint64) (have, pending []string) {
	list := m.Instances("entry")
	news := m.probeAll(ctx, list, false)
	for i, n := range news {
		if n.GetVersion() >= version {
			have = append(have, list[i].Name)
		} else {
			pending = append(pending, list[i].Name)
		}
	}
	return have, pending
}
