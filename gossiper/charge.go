package gossiper

import (
	"context"
	"slices"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/refuser"
)

// waitPart is the part of the time to its goal that a request waits for tokens of
// its workspace. A short wait costs the caller nothing, a refusal a new request.
const waitPart = 0.35

// Charge implements dispatcher.Charger. A request whose tokens come in soon waits
// for them, by rank and goal; any other one is refused at once.
func (g *Gossiper) Charge(ctx context.Context, r *dispatcher.Request) (dispatcher.Bill, error) {
	end := r.Begun + time.Duration(waitPart*float64(r.Goal-r.Begun))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.enter(r)
	defer g.leave(r)
	for {
		now := g.clock()
		ahead := g.ahead(r)
		left := g.ledger.Missing(now, r.Workspace, ahead+r.Cost)
		if ahead == 0 && left == 0 && g.ledger.Take(now, r.Workspace, r.Cost) {
			return &bill{gossiper: g, workspace: r.Workspace, tokens: r.Cost}, nil
		}
		if now+left > end {
			later := g.ledger.Later(now, r.Workspace, ahead+r.Cost)
			return nil, refuser.New(refuser.Limited, "the workspace has used its rate and burst").After(later)
		}
		if !g.pause(ctx, max(left, time.Millisecond)) {
			return nil, refuser.New(refuser.Canceled, "the caller has given up")
		}
	}
}

// pause waits until something has changed, for at most d. It gives up the lock
// meanwhile and reports false if ctx has ended.
func (g *Gossiper) pause(ctx context.Context, d time.Duration) bool {
	changed := g.changed
	g.mu.Unlock()
	defer g.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// enter puts r among those that wait. The caller holds the lock.
func (g *Gossiper) enter(r *dispatcher.Request) {
	list := g.waiting[r.Workspace]
	i, _ := slices.BinarySearchFunc(list, r, dispatcher.Compare)
	g.waiting[r.Workspace] = slices.Insert(list, i, r)
}

// leave ends the wait of r. The caller holds the lock.
func (g *Gossiper) leave(r *dispatcher.Request) {
	list := g.waiting[r.Workspace]
	if i := slices.Index(list, r); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(g.waiting, r.Workspace)
		return
	}
	g.waiting[r.Workspace] = list
	g.wake()
}

// ahead returns the tokens of those that are served before r. The caller holds the
// lock.
func (g *Gossiper) ahead(r *dispatcher.Request) float64 {
	sum := 0.0
	for _, o := range g.waiting[r.Workspace] {
		if o == r {
			break
		}
		sum += o.Cost
	}
	return sum
}

// wake lets the requests that wait look again. The caller holds the lock.
func (g *Gossiper) wake() {
	if len(g.waiting) == 0 {
		return
	}
	close(g.changed)
	g.changed = make(chan struct{})
}
