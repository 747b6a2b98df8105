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
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/configurer"
	"oleanderstall/peer"
	"oleanderstall/platform"
	"oleanderstall/syncer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Periods of the polls.
const (
	entryPoll   = time.Second
	sidecarPoll = 2 * time.Second
	probeLimit  = 700 * time.Millisecond
	pollLimit   = 900 * time.Millisecond
)

// Member is a process's knowledge of the fleet. It is safe for concurrent use.
type Member struct {
	self   platform.Instance
	clock  timer.Clock
	caller peer.Caller
	lister platform.Lister
	copy   *configurer.Configurer
	sync   *syncer.Syncer
	log    *log.Logger
	kick   chan struct{}
	done   chan struct{}
	mu     sync.Mutex
	list   []platform.Instance
	begun  time.Duration
	absent map[string]time.Duration
}

// New returns a member that has seen nothing yet.
func New(self platform.Instance, clock timer.Clock, caller peer.Caller, lister platform.Lister, s *syncer.Syncer, c *configurer.Configurer, l *log.Logger) *Member {
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
func (m *Member) Self() platform.Instance { return m.self }

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
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		m.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.kick:
		}
	}
}

// Kick makes Run poll at once.
func (m *Member) Kick() {
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

// refresh reads the instance list.
func (m *Member) refresh(ctx context.Context) {
	list, err := m.lister.Instances(ctx)
	if err != nil {
		return
	}
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
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

func named(list []platform.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in platform.Instance) bool { return in.Name == name })
}

// Instances returns the listed instances of a role.
func (m *Member) Instances(role string) []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.list), func(in platform.Instance) bool { return in.Role != role })
}

// Find returns the listed instance of that name.
func (m *Member) Find(name string) (platform.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.list {
		if in.Name == name {
			return in, true
		}
	}
	return platform.Instance{}, false
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

// askEntries looks for a proof at the other entries.
func (m *Member) askEntries(ctx context.Context) {
	others := m.others()
	sent := m.clock()
	news := make([]*wire.News, len(others))
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	var wg sync.WaitGroup
	for i, in := range others {
		wg.Go(func() { news[i] = m.probe(limited, in.Address) })
	}
	wg.Wait()
	m.weigh(sent, news)
}

func (m *Member) others() []platform.Instance {
	return slices.DeleteFunc(m.Instances("entry"), func(in platform.Instance) bool {
		return in.Name == m.self.Name
	})
}

func (m *Member) probe(ctx context.Context, address string) *wire.News {
	call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Version: m.View().Version()}}}
	reply, err := peer.One(ctx, m.caller, address, call)
	if err != nil {
		return nil
	}
	return reply.GetNews()
}

// weigh applies what the other entries answered to probes sent at sent; nil
// stands for silence.
func (m *Member) weigh(sent time.Duration, news []*wire.News) {
	for _, n := range news {
		m.take(n.GetChanges())
	}
	version := m.View().Version()
	silent, behind := false, false
	for _, n := range news {
		silent = silent || n == nil
		behind = behind || n.GetVersion() > version
		if n.GetProven() && n.GetVersion() <= version {
			m.sync.Prove(sent - timer.Span(n.GetAge()))
		}
	}
	_, listed := m.Find(m.self.Name)
	if !silent && !behind && listed {
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
func (m *Member) Answer(p *wire.Probe) *wire.Reply {
	if p.GetVersion() > m.View().Version() {
		m.Kick()
	}
	news := &wire.News{Version: m.View().Version(), Changes: m.copy.After(p.GetVersion())}
	if at, ok := m.sync.Proven(); ok {
		news.Age = timer.Millis(m.clock() - at)
		news.Proven = true
	}
	return &wire.Reply{Body: &wire.Reply_News{News: news}}
}

// InForce asks every listed entry whether it has the version. It returns the
// names of those that have and of those that have not, or did not answer.
func (m *Member) InForce(ctx context.Context, version uint64) (have, pending []string) {
	list := m.Instances("entry")
	news := make([]*wire.News, len(list))
	var wg sync.WaitGroup
	for i, in := range list {
		if in.Name == m.self.Name {
			news[i] = &wire.News{Version: m.View().Version()}
			continue
		}
		wg.Go(func() { news[i] = m.probe(ctx, in.Address) })
	}
	wg.Wait()
	for i, n := range news {
		if n.GetVersion() >= version {
			have = append(have, list[i].Name)
		} else {
			pending = append(pending, list[i].Name)
		}
	}
	return have, pending
}
