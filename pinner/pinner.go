// Package pinner decides at which version of the software of backend servers a stream may go on.
// What two versions write does not fit together, so a stream stays at the version that began it.
//
// While a pool has only one version, that one began all of its streams, and nothing is remembered or
// sent. While there are several, processes that begin streams remember the version of each, and
// exchange what they remember.
package pinner

import (
	"maps"
	"slices"
	"time"
)

// Limits of what is remembered.
const (
	// Lifetime is how long the version of a stream is remembered, and how long a version counts
	// after the last server with it has left. No stream is taken up later.
	Lifetime = 2 * time.Minute
	// maxStreams bounds the streams that are remembered.
	maxStreams = 1 << 16
)

// server is a listed server.
type server struct{ pool, software string }

// stream is what is remembered of a stream.
type stream struct {
	software   string
	recordedAt time.Duration
}

// Pinner holds the versions of the servers of each pool, and the streams that they began. It is not
// safe for concurrent use.
type Pinner struct {
	servers map[string]server
	// lastSeen holds, by pool and version, the latest instant at which a server was listed with it.
	// That of a version which is listed now is not kept up to date.
	lastSeen map[server]time.Duration
	// revision counts the changes of the versions that are listed.
	revision uint64
	// streams are the streams by the hash of their ID, order the hashes with the earliest first, and
	// unsent those that were recorded here since TakeUnsent.
	streams map[uint64]stream
	order   []uint64
	unsent  []uint64
}

// New returns a pinner that knows no server.
func New() *Pinner {
	return &Pinner{servers: map[string]server{}, lastSeen: map[server]time.Duration{}, streams: map[uint64]stream{}}
}

// UpdateServer records that a server of a pool is listed with a version of its software, which is
// empty if it is not known.
func (p *Pinner) UpdateServer(now time.Duration, id, pool, software string) {
	s := server{pool: pool, software: software}
	if p.servers[id] == s {
		return
	}
	p.RemoveServer(now, id)
	p.servers[id] = s
	if _, ok := p.lastSeen[s]; !ok {
		p.revision++
	}
	p.lastSeen[s] = now
}

// RemoveServer records that a server is no longer listed.
func (p *Pinner) RemoveServer(now time.Duration, id string) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	delete(p.servers, id)
	p.lastSeen[s] = now
	if !p.listed(s) {
		p.revision++
	}
}

// listed reports whether a server of a pool is listed with a version.
func (p *Pinner) listed(s server) bool {
	for _, other := range p.servers {
		if other == s {
			return true
		}
	}
	return false
}

// Recent returns the versions that servers of a pool have had within Lifetime, sorted.
func (p *Pinner) Recent(now time.Duration, pool string) []string {
	var versions []string
	for s, at := range p.lastSeen {
		if s.pool == pool && (now-at <= Lifetime || p.listed(s)) {
			versions = append(versions, s.software)
		}
	}
	slices.Sort(versions)
	return versions
}

// AnyMixed reports whether any pool has had servers of several versions within Lifetime.
func (p *Pinner) AnyMixed(now time.Duration) bool {
	pools := map[string]bool{}
	for s, at := range p.lastSeen {
		switch {
		case now-at > Lifetime && !p.listed(s):
		case pools[s.pool]:
			return true
		default:
			pools[s.pool] = true
		}
	}
	return false
}

// Record records that a server with a version of the software began a stream, which is named by the
// hash of the ID of its request.
func (p *Pinner) Record(now time.Duration, id uint64, software string) {
	if p.add(now, id, software) {
		p.unsent = append(p.unsent, id)
	}
}

// Merge adds a stream that another process recorded an age ago. It reports whether it was not known.
func (p *Pinner) Merge(now time.Duration, id uint64, software string, age time.Duration) bool {
	return age <= Lifetime && p.add(now-age, id, software)
}

// add adds a stream unless it is known. The version of a known one does not change.
func (p *Pinner) add(at time.Duration, id uint64, software string) bool {
	if _, ok := p.streams[id]; ok {
		return false
	}
	p.streams[id] = stream{software: software, recordedAt: at}
	if p.order = append(p.order, id); len(p.order) > maxStreams {
		p.dropFirst()
	}
	return true
}

// dropFirst drops the stream that was added first.
func (p *Pinner) dropFirst() {
	delete(p.streams, p.order[0])
	p.order = p.order[1:]
}

// Expire drops the streams that were recorded longer than Lifetime ago, and the versions that no
// server has had for so long.
func (p *Pinner) Expire(now time.Duration) {
	for len(p.order) > 0 && now-p.streams[p.order[0]].recordedAt > Lifetime {
		p.dropFirst()
	}
	maps.DeleteFunc(p.lastSeen, func(s server, at time.Duration) bool { return now-at > Lifetime && !p.listed(s) })
}

// Find returns the version that began the stream with the hash of an ID in a pool. It returns false
// if several versions may have.
func (p *Pinner) Find(now time.Duration, pool string, id uint64) (software string, ok bool) {
	if software, ok := p.Stream(id); ok {
		return software, true
	}
	if recent := p.Recent(now, pool); len(recent) == 1 {
		return recent[0], true
	}
	return "", false
}

// Stream returns the version that began a stream, if the stream is remembered.
func (p *Pinner) Stream(id uint64) (software string, ok bool) {
	s, ok := p.streams[id]
	return s.software, ok
}
