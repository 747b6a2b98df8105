package leaser

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model below explores the functions of this package, not a copy of them:
// processes with a Tenure and a Watch each, one row, and messages that are
// delayed, lost or answered late, pauses, restarts and outages. In it, every
// process reads, writes and answers at any instant or not at all.

// kind is the purpose of a write.
type kind byte

const (
	noWrite kind = iota
	renewal
	marking
	taking
)

// write is a write on its way to the row and back.
type write struct {
	kind kind
	sent time.Duration
	row  Row
	base uint64
	// landed is set once the platform has handled the write, done if it did it.
	landed, done bool
	// lost is set if nobody waits for the answer.
	lost bool
}

// actor is one process.
type actor struct {
	holds   bool
	tenure  Tenure
	watch   Watch
	row     Row
	write   write
	orphan  write
	proving bool
	sent    time.Duration
	pledged []string
}

// world is one state of the model.
type world struct {
	terms  Options
	row    Row
	clocks []time.Duration
	actors []actor
	ticks  int
	// cut is set for processes that do not reach the platform.
	cut []bool
	// revived is set if a proof brought a lapsed tenure back.
	revived bool
	// all is set if a proof takes the pledges of all candidates, as it should.
	all bool
	// sets are the candidate sets that a holder may choose from.
	sets func(w *world, holder int) [][]string
}

var names = []string{"a", "b", "c"}

func others(w *world, self int) [][]string {
	var set []string
	for i := range w.actors {
		if i != self {
			set = append(set, names[i])
		}
	}
	return [][]string{set}
}

// newWorld returns a world in which the first process has just taken the shard.
func newWorld(n int, terms Options) *world {
	w := &world{
		terms:  terms,
		clocks: make([]time.Duration, n),
		actors: make([]actor, n),
		cut:    make([]bool, n),
		all:    true,
		sets:   others,
	}
	w.row = Row{Version: 1, Epoch: 1, Holder: "a", Candidates: others(w, 0)[0]}
	for i := range n {
		w.clocks[i] = 1
		w.actors[i] = actor{watch: *NewWatch(terms), row: w.row}
		w.actors[i].watch.Observe(1, names[i], w.row)
	}
	w.actors[0].holds = true
	w.actors[0].tenure = *NewTenure(1, terms, w.row)
	return w
}

func (w *world) clone() *world {
	c := *w
	c.clocks = slices.Clone(w.clocks)
	c.actors = slices.Clone(w.actors)
	for i := range c.actors {
		c.actors[i].pledged = slices.Clone(c.actors[i].pledged)
		c.actors[i].tenure.candidates = slices.Clone(c.actors[i].tenure.candidates)
	}
	return &c
}

// step is one event. It changes the world it is given.
type step func(w *world)

// steps lists everything that may happen next, except that time passes.
func (w *world) steps() []step {
	var list []step
	for i := range w.actors {
		if !w.cut[i] {
			list = w.reads(list, i)
			list = w.sends(list, i)
		}
		list = w.arrivals(list, i)
		list = w.proofs(list, i)
	}
	return list
}

// restarts lists the restarts of processes.
func (w *world) restarts() []step {
	var list []step
	for i := range w.actors {
		list = append(list, func(w *world) { w.restart(i) })
	}
	return list
}

func (w *world) reads(list []step, i int) []step {
	if w.actors[i].row.Version == w.row.Version && w.actors[i].watch.version == w.row.Version {
		return list
	}
	return append(list, func(w *world) {
		a := &w.actors[i]
		a.row = w.row
		a.watch.Observe(w.clocks[i], names[i], w.row)
		switch {
		case !a.holds:
		case w.row.Holder != names[i] || w.row.Epoch != a.tenure.Epoch():
			a.holds = false
		default:
			a.tenure.Seen(w.row)
		}
	})
}

// sends begins a renewal, a mark or a takeover, as the functions allow.
func (w *world) sends(list []step, i int) []step {
	a := &w.actors[i]
	if a.write.kind != noWrite {
		return list
	}
	now := w.clocks[i]
	if a.holds && a.tenure.Held(now) && (now+w.terms.Lease > a.tenure.Until() || a.row.Mark != "") {
		for _, set := range w.sets(w, i) {
			list = append(list, func(w *world) {
				a := &w.actors[i]
				a.tenure.Offer(set)
				w.send(i, renewal, a.row.Renewed(set))
			})
		}
	}
	if !a.holds && slices.Contains(a.row.Candidates, names[i]) {
		if a.watch.MayMark(now, a.row) {
			list = append(list, func(w *world) {
				w.actors[i].watch.Marking()
				w.send(i, marking, w.actors[i].row.WithMark(names[i]))
			})
		}
		if a.watch.MayTake(now, names[i], a.row) {
			for _, set := range w.sets(w, i) {
				list = append(list, func(w *world) { w.send(i, taking, w.actors[i].row.Taken(names[i], set)) })
			}
		}
	}
	return list
}

func (w *world) send(i int, k kind, next Row) {
	a := &w.actors[i]
	a.write = write{kind: k, sent: w.clocks[i], row: next, base: a.row.Version}
}

// arrivals lets writes take effect, and lets answers arrive or get lost.
func (w *world) arrivals(list []step, i int) []step {
	a := &w.actors[i]
	if a.write.kind != noWrite && !a.write.landed {
		list = append(list, func(w *world) { w.land(&w.actors[i].write) })
	}
	if a.orphan.kind != noWrite {
		list = append(list, func(w *world) {
			w.land(&w.actors[i].orphan)
			w.actors[i].orphan = write{}
		})
	}
	if a.write.kind != noWrite {
		list = append(list, func(w *world) { w.lose(i) })
	}
	if a.write.landed {
		list = append(list, func(w *world) { w.answer(i) })
	}
	return list
}

func (w *world) land(x *write) {
	x.landed = true
	if w.row.Version != x.base {
		return
	}
	x.done = true
	w.row = x.row
	w.row.Version = x.base + 1
}

// lose gives up waiting for an answer; the write may still take effect.
func (w *world) lose(i int) {
	a := &w.actors[i]
	if !a.write.landed {
		a.orphan = a.write
	}
	a.write = write{}
}

func (w *world) answer(i int) {
	a := &w.actors[i]
	x := a.write
	a.write = write{}
	if !x.done {
		return
	}
	row := x.row
	row.Version = x.base + 1
	switch x.kind {
	case renewal:
		if a.holds {
			a.row = row
			a.tenure.Renew(x.sent, row)
		}
	case marking:
		a.row = row
		a.watch.Marked(w.clocks[i], row.Version)
	case taking:
		a.row = row
		a.holds = true
		a.tenure = *NewTenure(x.sent, w.terms, row)
	}
}

// proofs lets a holder gather pledges and use them.
func (w *world) proofs(list []step, i int) []step {
	a := &w.actors[i]
	if !a.holds {
		return list
	}
	if !a.proving {
		if w.clocks[i]+w.terms.Lease <= a.tenure.Until() {
			return list
		}
		return append(list, func(w *world) {
			a := &w.actors[i]
			a.proving, a.sent, a.pledged = true, w.clocks[i], nil
		})
	}
	for j := range w.actors {
		if j != i && !slices.Contains(a.pledged, names[j]) && !w.actors[j].holds {
			list = append(list, func(w *world) {
				if w.actors[j].watch.Pledge() {
					w.actors[i].pledged = append(w.actors[i].pledged, names[j])
				}
			})
		}
	}
	return append(list, func(w *world) {
		a := &w.actors[i]
		pledged := a.pledged
		if !w.all && len(pledged) > 0 {
			pledged = a.tenure.candidates
		}
		held := a.tenure.Held(w.clocks[i])
		a.tenure.Prove(w.clocks[i], a.sent, pledged)
		w.revived = w.revived || !held && a.tenure.Held(w.clocks[i])
		a.proving, a.sent, a.pledged = false, 0, nil
	})
}

// restart forgets everything; a write on its way stays on its way.
func (w *world) restart(i int) {
	a := &w.actors[i]
	orphan := a.orphan
	if a.write.kind != noWrite && !a.write.landed {
		orphan = a.write
	}
	*a = actor{watch: *NewWatch(w.terms), orphan: orphan}
}

// wrong reports whether two processes hold the shard, or one that had lapsed.
func (w *world) wrong() bool { return w.revived || w.holders() > 1 }

func (w *world) holders() int {
	n := 0
	for i, a := range w.actors {
		if a.holds && a.tenure.Held(w.clocks[i]) {
			n++
		}
	}
	return n
}

// key encodes the state, without what follows from it.
func (w *world) key() string {
	b := make([]byte, 0, 160)
	put := func(vs ...uint64) {
		for _, v := range vs {
			b = append(b, byte(v))
		}
	}
	row := func(r Row) {
		put(r.Version, r.Epoch)
		b = append(b, r.Holder...)
		b = append(b, '/')
		b = append(b, r.Mark...)
		b = append(b, '/')
	}
	flag := func(vs ...bool) {
		for _, v := range vs {
			if v {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	pending := func(x write) {
		put(uint64(x.kind), uint64(x.sent), x.base)
		flag(x.landed, x.done)
	}
	put(uint64(w.ticks))
	row(w.row)
	for i := range w.actors {
		a := &w.actors[i]
		flag(a.holds, a.proving, a.watch.marked)
		row(a.row)
		if a.holds {
			put(a.tenure.epoch, a.tenure.version, uint64(a.tenure.until))
		}
		put(a.watch.version, uint64(a.watch.since), a.watch.mark, uint64(a.watch.marking))
		put(uint64(a.sent))
		for _, p := range a.pledged {
			b = append(b, p...)
		}
		pending(a.write)
		pending(a.orphan)
	}
	return string(b)
}

// explore visits every state that w leads to, those of fewer steps first, until
// it has seen most of them. It returns the number of steps up to which it has
// seen every state, and whether two processes held the shard in any.
func explore(w *world, most int) (depth int, twice bool) {
	seen := map[string]bool{w.key(): true}
	layer := []*world{w}
	for ; len(layer) > 0; depth++ {
		var next []*world
		for _, at := range layer {
			for _, do := range append(append(at.steps(), at.restarts()...), tick) {
				c := at.clone()
				do(c)
				if c.wrong() {
					return depth, true
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
				if len(seen) >= most {
					return depth, false
				}
			}
		}
		layer = next
	}
	return depth, false
}

func tick(w *world) {
	w.ticks++
	for i := range w.clocks {
		w.clocks[i]++
	}
}

// mostStates bounds each exploration, so that CI ends.
const mostStates = 60_000

// TestOneHolderAllInterleavings explores every interleaving up to a depth, from
// a shard just taken and from some ticks after that, with one candidate and with
// two.
func TestOneHolderAllInterleavings(t *testing.T) {
	for processes := 2; processes <= 3; processes++ {
		for late := range 4 {
			w := newWorld(processes, Options{Lease: 2})
			for range late {
				tick(w)
			}
			depth, twice := explore(w, mostStates)
			t.Logf("%d processes, %d ticks late: all states of up to %d steps", processes, late, depth)
			assert.Assert(t, !twice)
		}
	}
}

// walkTerms leave a margin for clocks that drift by 5% each way.
var walkTerms = Options{Lease: 100, Margin: 15}

// Sizes of the random walks.
const (
	walks     = 12000
	walkSteps = 400
	tickUnits = 20
)

// TestTwoHoldersIfOneIsNotAsked shows that the walks find the fault of a proof
// by some candidates only.
func TestTwoHoldersIfOneIsNotAsked(t *testing.T) {
	twice := false
	for seed := uint64(0); seed < walks && !twice; seed++ {
		w := newWorld(3, walkTerms)
		w.all = false
		twice = walk(w, seed)
	}
	assert.Assert(t, twice)
}

// TestOneHolderWithDrift walks at random with clocks that drift by 5% each way,
// and with candidate sets that change.
func TestOneHolderWithDrift(t *testing.T) {
	for seed := range uint64(walks) {
		w := newWorld(3, walkTerms)
		w.sets = func(w *world, holder int) [][]string {
			all := others(w, holder)[0]
			return [][]string{all, all[:1], all[1:]}
		}
		assert.Assert(t, !walk(w, seed), "seed %d", seed)
	}
}

// walk takes random steps and reports whether two processes held the shard. The
// platform and each process stand still for a while now and then.
func walk(w *world, seed uint64) bool {
	r := rand.New(rand.NewPCG(seed, 1))
	drift := make([]time.Duration, len(w.actors))
	for i := range drift {
		drift[i] = time.Duration(r.IntN(3) - 1)
	}
	ticking := 3 + r.IntN(25)
	w.cut[0] = r.IntN(2) == 0
	for range walkSteps {
		if r.IntN(ticking) == 0 {
			for i := range w.clocks {
				w.clocks[i] += tickUnits + drift[i]
			}
		}
		if r.IntN(60) == 0 {
			w.cut[r.IntN(len(w.cut))] = r.IntN(2) == 0
		}
		list := w.steps()
		if r.IntN(200) == 0 {
			list = w.restarts()
		}
		if len(list) > 0 {
			list[r.IntN(len(list))](w)
		}
		if w.wrong() {
			return true
		}
	}
	return false
}
