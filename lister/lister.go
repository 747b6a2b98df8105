// Package lister follows the platform's list of backend servers. During an outage of the
// platform's store the rows of running servers may expire. Such servers stay listed until
// their rows have had time to reappear.
package lister

import (
	"context"
	"strings"
	"time"

	"github.com/phuslu/log"

	"oleanderstall/follower"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Times of the calls to the store and of the removal of servers.
const (
	// LongPollTimeout is the longest time for which the store holds a call while there are
	// no changes, and minInterval the shortest time between two calls.
	LongPollTimeout = 1200 * time.Millisecond
	minInterval     = 450 * time.Millisecond
	// relistGrace is the time after an outage of the store within which the rows of running
	// servers reappear.
	relistGrace = 2500 * time.Millisecond
	// sweepInterval is the time between two checks for servers that did not reappear.
	sweepInterval = 250 * time.Millisecond
)

// Decoder decodes a row. It returns an error if the row describes no usable server.
type Decoder func(row storer.Row) (tracker.Server, error)

// Lister follows the list. It is safe for concurrent use.
type Lister struct {
	table    string
	decode   Decoder
	apply    func(completeAsOf time.Duration, servers []*wire.ListedServer)
	follower *follower.Follower
	clock    timer.Clock
	log      *log.Logger
	done     chan struct{}
	rows     chan []storer.Row
	// omitted holds the number of models that the latest readable row of a server leaves out, and
	// latest the latest readable row, by ID. Only Run uses them.
	omitted map[string]int
	latest  map[string]*wire.ListedServer
}

// New returns a lister of a table that passes each changed server to apply, with the instant
// as of which the list was complete. It also calls apply without servers, so that the
// instant is known.
func New(table string, decode Decoder, clock timer.Clock, feed storer.ChangeFeed, apply func(completeAsOf time.Duration, servers []*wire.ListedServer), l *log.Logger) *Lister {
	s := &Lister{table: table, decode: decode, apply: apply, clock: clock, log: l, done: make(chan struct{}), rows: make(chan []storer.Row), omitted: map[string]int{}, latest: map[string]*wire.ListedServer{}}
	s.follower = follower.New(follower.Options{Table: table, LongPollTimeout: LongPollTimeout, MinInterval: minInterval}, clock, feed, s.enqueueRows, l)
	return s
}

// Done returns a channel that is closed when Run has returned.
func (s *Lister) Done() <-chan struct{} { return s.done }

// Follower returns the follower of the table.
func (s *Lister) Follower() *follower.Follower { return s.follower }

// enqueueRows passes changed rows on to Run.
func (s *Lister) enqueueRows(_ time.Duration, rows []storer.Row) {
	select {
	case s.rows <- rows:
	case <-s.done:
	}
}

// Run follows the list until ctx ends.
func (s *Lister) Run(ctx context.Context) {
	defer close(s.done)
	go s.follower.Run(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	pending := map[string]pendingRemoval{}
	for {
		var servers []*wire.ListedServer
		select {
		case <-ctx.Done():
			return
		case rows := <-s.rows:
			servers = s.convertRows(rows, pending)
		case <-ticker.C:
			servers = s.removeExpired(pending)
		}
		completeAsOf, _ := s.follower.CompleteAsOf()
		s.apply(completeAsOf, servers)
	}
}

// pendingRemoval is the removal of a row that may reappear until an instant.
type pendingRemoval struct {
	row   uint64
	until time.Duration
}

// convertRows converts changed rows. It defers removals shortly after an outage of the
// store.
func (s *Lister) convertRows(rows []storer.Row, pending map[string]pendingRemoval) []*wire.ListedServer {
	var servers []*wire.ListedServer
	for _, r := range rows {
		id := strings.TrimPrefix(r.Key, s.table+"/")
		delete(pending, id)
		if r.Deleted {
			delete(s.omitted, id)
		}
		if !r.Deleted {
			servers = append(servers, s.convertRow(id, r))
			continue
		}
		if until, ok := s.removalGrace(); ok {
			s.log.Info().Str("server", id).Uint64("row", r.Version).Int64("left", (until - s.clock()).Milliseconds()).Msg("server: removal deferred")
			pending[id] = pendingRemoval{row: r.Version, until: until}
			continue
		}
		s.log.Info().Str("server", id).Uint64("row", r.Version).Msg("server: gone")
		servers = append(servers, s.gone(id, r.Version))
	}
	return servers
}

// convertRow converts a row that was not removed. A row that cannot be decoded counts as
// removed.
func (s *Lister) convertRow(id string, r storer.Row) *wire.ListedServer {
	server, err := s.decode(r)
	if err != nil {
		s.log.Warn().Err(err).Str("server", id).Uint64("row", r.Version).Msg("server: unreadable row, not used")
		return s.gone(id, r.Version)
	}
	s.recordOmitted(id, r.Version, server.Omitted)
	listed := server.ListedServer(r.Version)
	if !tracker.RowOutdated(listed, s.latest[id]) {
		s.latest[id] = listed
	}
	return listed
}

// gone returns the row of a server that was removed, or cannot be read, as of a version. It names
// the process that the latest readable row described.
func (s *Lister) gone(id string, version uint64) *wire.ListedServer {
	latest := s.latest[id]
	delete(s.latest, id)
	return &wire.ListedServer{Id: id, Row: version, Gone: true, Born: latest.GetBorn(), Writes: latest.GetWrites()}
}

// recordOmitted logs the number of models that a row leaves out, if it has changed.
func (s *Lister) recordOmitted(id string, version uint64, omitted int) {
	if omitted == s.omitted[id] {
		return
	}
	s.omitted[id] = omitted
	s.log.Warn().Str("server", id).Uint64("row", version).Int("models", omitted).Msg("server: unreadable models left out")
}

// removalGrace returns the instant until which a row that is removed now may reappear. It
// returns false unless the store recovered from an outage less than relistGrace ago.
func (s *Lister) removalGrace() (time.Duration, bool) {
	since, _ := s.follower.AnsweringSince()
	first, _ := s.follower.FirstAnswer()
	return since + relistGrace, since > first && s.clock()-since < relistGrace
}

// removeExpired returns the removals of the servers that did not reappear in time.
func (s *Lister) removeExpired(pending map[string]pendingRemoval) []*wire.ListedServer {
	var servers []*wire.ListedServer
	for id, p := range pending {
		if s.clock() >= p.until {
			delete(pending, id)
			s.log.Info().Str("server", id).Msg("server: removed, row did not reappear")
			servers = append(servers, s.gone(id, p.row))
		}
	}
	return servers
}
