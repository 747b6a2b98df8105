// Package member keeps a process's view of the fleet current: the listed
// instances and the configuration in force.
//
// An entry must know that its configuration is the newest, because a withdrawn
// key must stop working within seconds. Any of three things proves it: a read of
// the platform's head row; a probe reply from another entry that has such a
// proof; or, while the platform is unavailable, replies from all other entries
// that none has a newer version. The last is sufficient because withdrawals are
// made through entries only. If a single entry does not reply, there is no
// proof.
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

// Polling intervals and timeouts.
const (
	// entryPollInterval and sidecarPollInterval are the longest times between two
	// polls of an entry and of a sidecar. Each wait is shortened at random by up to
	// a fifth to spread the fleet's polls over time.
	entryPollInterval   = time.Second
	sidecarPollInterval = 4 * time.Second
	// listInterval is the shortest time between two reads of the instance list.
	listInterval = 1800 * time.Millisecond
	// probeTimeout bounds the probes of other entries, and pollTimeout the calls to
	// the platform in one poll.
	probeTimeout = 700 * time.Millisecond
	pollTimeout  = 900 * time.Millisecond
)

// Member holds a process's view of the fleet: the instance list and a copy of the
// configuration. It is safe for concurrent use.
type Member struct {
	self   storer.Instance
	clock  timer.Clock
	caller peer.Caller
	lister storer.Lister
	config *configurer.Configurer
	syncer *syncer.Syncer
	log    *log.Logger
	wake   chan struct{}
	done   chan struct{}
	// pollMu serializes the polls of CatchUp and EnsureFresh.
	pollMu sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// instances is the instance list as last read, and listTag its tag.
	instances []storer.Instance
	listTag   string
	// firstListAt and lastListAt are the times of the first and of the latest read
	// of the list, or 0.
	firstListAt time.Duration
	lastListAt  time.Duration
	// unlistedSince holds the time since which a formerly listed instance is missing
	// from the list, by name.
	unlistedSince map[string]time.Duration
}

// New returns a Member without instances. Its first poll reads the list.
func New(self storer.Instance, clock timer.Clock, caller peer.Caller, lister storer.Lister, s *syncer.Syncer, c *configurer.Configurer, l *log.Logger) *Member {
	return &Member{
		self:          self,
		clock:         clock,
		caller:        caller,
		lister:        lister,
		config:        c,
		syncer:        s,
		log:           l,
		wake:          make(chan struct{}, 1),
		done:          make(chan struct{}),
		unlistedSince: map[string]time.Duration{},
	}
}

// Self returns this process as an entry of the instance list.
func (m *Member) Self() storer.Instance { return m.self }

// View returns the configuration in force in this process.
func (m *Member) View() *configurer.View { return m.config.View() }

// Done returns a channel that is closed when Run has returned.
func (m *Member) Done() <-chan struct{} { return m.done }

// Run polls the platform until ctx ends.
func (m *Member) Run(ctx context.Context) {
	defer close(m.done)
	interval := sidecarPollInterval
	if m.self.Role == "entry" {
		interval = entryPollInterval
	}
	for {
		m.Poll(ctx)
		nextPoll := time.NewTimer(interval - rand.N(interval/5))
		select {
		case <-ctx.Done():
			nextPoll.Stop()
			return
		case <-nextPoll.C:
		case <-m.wake:
		}
		nextPoll.Stop()
	}
}

// Wake makes Run poll immediately.
func (m *Member) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Poll reads the instance list, if it is due, and the configuration once. If the
// platform does not prove the configuration to be the newest, it probes other
// entries.
func (m *Member) Poll(ctx context.Context) {
	sentAt := m.clock()
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { m.refreshInstances(limited) })
	previous, gaps := m.View().Version(), len(m.syncer.Gaps())
	err := m.syncer.Pull(limited, sentAt)
	wg.Wait()
	if current := m.View().Version(); current != previous {
		m.log.Info().Uint64("version", current).Strs("omitted", m.View().Omitted()).Msg("config: in force")
	}
	for _, version := range m.syncer.Gaps()[gaps:] {
		m.log.Error().Uint64("version", version).Msg("config: a change cannot be read and is skipped")
	}
	if err != nil && ctx.Err() == nil {
		m.log.Warn().Err(err).Msg("config: platform gave no proof")
		newest := m.probeEntries(ctx)
		m.confirm(ctx, err, newest)
	}
}

// confirm confirms the newest version of the configuration, after a poll that failed with err, if the
// store has come back from a copy. Entries do that, from which all changes come; newest is set if no
// other one has a newer version.
func (m *Member) confirm(ctx context.Context, err error, newest bool) {
	var unconfirmed *syncer.UnconfirmedError
	if m.self.Role != "entry" || !eris.As(err, &unconfirmed) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	failure := m.syncer.Confirm(limited, m.clock(), newest)
	m.log.Warn().Uint64("era", unconfirmed.Era).Uint64("head", unconfirmed.Head).Uint64("version", m.View().Version()).
		Bool("newest", newest).Err(failure).Msg("config: confirmed in a new era of the store")
}

// CatchUp polls if the configuration is older than version, which another process
// has. Concurrent callers share one poll if it reaches the version.
func (m *Member) CatchUp(ctx context.Context, version uint64) {
	m.pollMu.Lock()
	defer m.pollMu.Unlock()
	if m.View().Version() < version {
		m.Poll(ctx)
	}
}

// EnsureFresh polls unless the configuration was proven to be the newest within the
// last bound, and reports whether it is proven then. Concurrent callers share one
// poll if it brings the proof.
func (m *Member) EnsureFresh(ctx context.Context, bound time.Duration) bool {
	m.pollMu.Lock()
	defer m.pollMu.Unlock()
	if !m.Fresh(m.clock(), bound) {
		m.Poll(ctx)
	}
	return m.Fresh(m.clock(), bound)
}

// refreshInstances reads the instance list unless it was read less than
// listInterval ago. After an error it keeps the old list.
func (m *Member) refreshInstances(ctx context.Context) {
	m.mu.Lock()
	tag := m.listTag
	refreshDue := tag == "" || m.clock()-m.lastListAt >= listInterval
	m.mu.Unlock()
	if !refreshDue {
		return
	}
	instances, tag, err := m.lister.Instances(ctx, tag)
	var unchanged *storer.UnchangedError
	if err != nil && !eris.As(err, &unchanged) {
		return
	}
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastListAt = now
	if unchanged != nil {
		return
	}
	m.listTag = tag
	for _, in := range m.instances {
		if !containsName(instances, in.Name) && m.unlistedSince[in.Name] == 0 {
			m.unlistedSince[in.Name] = now
		}
	}
	for _, in := range instances {
		delete(m.unlistedSince, in.Name)
	}
	m.instances = instances
	if m.firstListAt == 0 {
		m.firstListAt = now
	}
}

// containsName reports whether list has an instance of that name.
func containsName(list []storer.Instance, name string) bool {
	return slices.ContainsFunc(list, func(in storer.Instance) bool { return in.Name == name })
}

// Instances returns the listed instances of a role.
func (m *Member) Instances(role string) []storer.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.instances), func(in storer.Instance) bool { return in.Role != role })
}

// Find returns the listed instance of that name, and whether there is one.
func (m *Member) Find(name string) (storer.Instance, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range m.instances {
		if in.Name == name {
			return in, true
		}
	}
	return storer.Instance{}, false
}

// AcceptsWork reports whether an instance may get new requests and loads: it is not leaving, and it is
// no sidecar in an evacuated data centre.
func (m *Member) AcceptsWork(in storer.Instance) bool { return !in.Leaving && !m.Evacuated(in) }

// Evacuated reports whether an instance is a sidecar in an evacuated data centre.
func (m *Member) Evacuated(in storer.Instance) bool {
	return in.Role == "sidecar" && m.config.View().Evacuated(in.Centre)
}

// Unlisted reports whether the instance has been missing from the platform's list for
// at least duration. For a name that was never listed, the time counts from the
// first list that this process read. Before that, the result is false.
func (m *Member) Unlisted(now time.Duration, name string, duration time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstListAt == 0 || containsName(m.instances, name) {
		return false
	}
	return now-max(m.firstListAt, m.unlistedSince[name]) >= duration
}

// Fresh reports whether the configuration was proven to be the newest at most
// bound before now.
func (m *Member) Fresh(now, bound time.Duration) bool {
	provenAt, ok := m.syncer.LastCurrent()
	return ok && now-provenAt <= bound
}

// probeEntries probes other entries for a proof that the configuration is the
// newest. An entry probes the relay of its data centre. A relay probes all entries
// of its own centre and the relay of each other centre, which gathers the answers
// of its centre, so that no process probes the whole fleet. It reports whether all entries have
// answered and none has a newer version.
func (m *Member) probeEntries(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	relay := m.relayOf(m.self.Centre)
	sentAt := m.clock()
	if relay.Name != m.self.Name {
		return m.applyResults(sentAt, []*wire.ProbeResult{m.probe(limited, relay.Address, false)}, false)
	}
	var remote []*wire.ProbeResult
	var wg sync.WaitGroup
	wg.Go(func() { remote = m.probeAll(limited, m.otherRelays(), true) })
	local := m.probeAll(limited, m.otherLocalEntries(), false)
	wg.Wait()
	return m.applyResults(sentAt, append(local, remote...), m.complete(local, remote))
}

// complete reports whether the results cover every entry: all entries of this data
// centre replied, the relay of each other centre reported a complete result, and
// this process is itself listed.
func (m *Member) complete(local, remote []*wire.ProbeResult) bool {
	_, listed := m.Find(m.self.Name)
	unanswered := func(r *wire.ProbeResult) bool { return r == nil }
	incomplete := func(r *wire.ProbeResult) bool { return !r.GetComplete() }
	return listed && !slices.ContainsFunc(local, unanswered) && !slices.ContainsFunc(remote, incomplete)
}

// relayOf returns the entry that gathers the answers of a data centre. It is chosen
// by rendezvous hashing, so that all processes with the same instance list choose
// the same entry.
func (m *Member) relayOf(centre string) storer.Instance {
	key := router.Hash(centre)
	var best storer.Instance
	for _, in := range m.Instances("entry") {
		if in.Centre == centre && (best.Name == "" || router.Score(in.Name, key) > router.Score(best.Name, key)) {
			best = in
		}
	}
	return best
}

// IsRelay reports whether this process gathers and passes on for its data centre.
func (m *Member) IsRelay() bool { return m.relayOf(m.self.Centre).Name == m.self.Name }

// Neighbors returns the entries to which this process passes on what all entries are to know:
// the relay of its data centre or, as that relay, the other entries of the data centre and
// the relays of the others.
func (m *Member) Neighbors() []storer.Instance {
	relay := m.relayOf(m.self.Centre)
	if relay.Name == "" {
		return nil
	}
	if relay.Name != m.self.Name {
		return []storer.Instance{relay}
	}
	return append(m.otherLocalEntries(), m.otherRelays()...)
}

// otherRelays returns the relays of the other data centres.
func (m *Member) otherRelays() []storer.Instance {
	var relays []storer.Instance
	for _, centre := range m.centres() {
		if centre != m.self.Centre {
			relays = append(relays, m.relayOf(centre))
		}
	}
	return relays
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

// otherLocalEntries returns the other entries of this data centre.
func (m *Member) otherLocalEntries() []storer.Instance {
	return slices.DeleteFunc(m.Instances("entry"), func(in storer.Instance) bool {
		return in.Name == m.self.Name || in.Centre != m.self.Centre
	})
}

// probeAll probes all entries concurrently and returns their results in the same
// order, nil for an entry that did not reply.
func (m *Member) probeAll(ctx context.Context, entries []storer.Instance, gather bool) []*wire.ProbeResult {
	results := make([]*wire.ProbeResult, len(entries))
	var wg sync.WaitGroup
	for i, in := range entries {
		wg.Go(func() { results[i] = m.probe(ctx, in.Address, gather) })
	}
	wg.Wait()
	return results
}

// probe sends one probe and returns the result, or nil if the call failed.
func (m *Member) probe(ctx context.Context, address string, gather bool) *wire.ProbeResult {
	probe := &wire.Probe{Version: m.View().Version(), Gather: gather}
	reply, err := peer.Call(ctx, m.caller, address, &wire.Call{Body: &wire.Call_Probe{Probe: probe}})
	if err != nil {
		return nil
	}
	return reply.GetNews()
}

// applyResults applies the changes in the results of probes sent at sentAt and
// records the proofs among them. If the results are complete and none has a newer
// version, they prove the configuration to be the newest; it reports whether they do.
func (m *Member) applyResults(sentAt time.Duration, results []*wire.ProbeResult, complete bool) bool {
	for _, r := range results {
		m.applyChanges(r.GetChanges())
	}
	version := m.View().Version()
	outdated := false
	for _, r := range results {
		outdated = outdated || r.GetVersion() > version
		if r.GetProven() && r.GetVersion() <= version {
			m.syncer.MarkCurrent(sentAt - timer.FromMillis(r.GetAge()))
		}
	}
	newest := complete && !outdated
	if newest {
		m.syncer.MarkCurrent(sentAt)
	}
	return newest
}

// applyChanges applies changes in order. It passes over one that does not follow the copy's
// version.
func (m *Member) applyChanges(changes []*wire.Change) {
	for _, c := range changes {
		if err := m.config.Apply(c); err != nil {
			m.log.Info().Err(err).Msg("config: a change of another entry is passed over")
		}
	}
}

// AnswerProbe returns the reply to a probe of another entry: this process's version,
// the changes that the prober lacks, and the age of the proof if there is one. A
// probe with a newer version makes this process poll immediately.
func (m *Member) AnswerProbe(ctx context.Context, probe *wire.Probe) *wire.Reply {
	if probe.GetVersion() > m.View().Version() {
		m.Wake()
	}
	result := &wire.ProbeResult{}
	if probe.GetGather() {
		m.gatherLocal(ctx, result)
	}
	version := m.View().Version()
	result.Version = max(result.GetVersion(), version)
	result.Changes = m.config.ChangesAfter(probe.GetVersion())
	if provenAt, ok := m.syncer.LastCurrent(); ok && result.Version == version {
		result.Age = timer.ToMillis(m.clock() - provenAt)
		result.Proven = true
	}
	return &wire.Reply{Body: &wire.Reply_News{News: result}}
}

// gatherTimeout bounds the probes that a relay sends on behalf of another relay. It
// is half of probeTimeout, so that the result arrives before the other's probe ends.
const gatherTimeout = probeTimeout / 2

// gatherLocal probes the other entries of this data centre and applies their
// changes. It sets the newest version and the completeness of result.
func (m *Member) gatherLocal(ctx context.Context, result *wire.ProbeResult) {
	limited, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	local := m.probeAll(limited, m.otherLocalEntries(), false)
	for _, r := range local {
		m.applyChanges(r.GetChanges())
		result.Version = max(result.GetVersion(), r.GetVersion())
	}
	result.Complete = m.complete(local, nil)
}

// RolloutStatus probes every listed entry. It returns the names of the entries that have
// at least that configuration version, and of those that have an older one or did
// not reply.
func (m *Member) RolloutStatus(ctx context.Context, version uint64) (reached, pending []string) {
	entries := m.Instances("entry")
	results := m.probeAll(ctx, entries, false)
	for i, r := range results {
		if r.GetVersion() >= version {
			reached = append(reached, entries[i].Name)
		} else {
			pending = append(pending, entries[i].Name)
		}
	}
	return reached, pending
}
