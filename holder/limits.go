package holder

import (
	"oleanderstall/limiter"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Charge takes tokens out of a bucket share for an entry. It grants what the
// share has, which may be less than wanted.
func (h *Holder) Charge(c *wire.Charge) (*wire.Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, b, err := h.bucket(c.GetWorkspace(), c.GetShare())
	if err != nil {
		return nil, err
	}
	now := h.clock()
	tokens, receipt := b.Take(now, c.GetWant())
	return &wire.Grant{
		Tokens: tokens,
		Epoch:  s.tenure.Epoch(),
		At:     receipt,
		Retry:  timer.ToMillis(b.Wait(now, c.GetWant()-tokens)),
	}, nil
}

// Refund settles a charge. A charge of an earlier tenure is passed over, since
// the share has started empty since.
func (h *Holder) Refund(r *wire.Refund) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, b, err := h.bucket(r.GetWorkspace(), r.GetShare())
	if err != nil {
		return err
	}
	if r.GetEpoch() == s.tenure.Epoch() {
		b.Refund(h.clock(), r.GetAt(), r.GetTokens())
	}
	return nil
}

// bucket returns a share of a workspace that this entry holds. The caller holds
// the lock.
func (h *Holder) bucket(workspace string, index uint32) (*shard, *limiter.Bucket, error) {
	s, err := h.held(BucketShard(workspace, index, h.terms.Shards))
	if err != nil {
		return nil, nil, err
	}
	w := h.member.View().Workspace(workspace)
	if w == nil || index >= w.GetShares() {
		return nil, nil, refuser.New(refuser.NotFound, "the workspace has no such bucket share")
	}
	now := h.clock()
	rate := w.GetRate() / float64(w.GetShares())
	burst := w.GetBurst() / float64(w.GetShares())
	name := share{workspace: workspace, index: index}
	b := s.buckets[name]
	if b == nil {
		b = limiter.New(s.began, rate, burst)
		s.buckets[name] = b
	}
	b.Resize(now, rate, burst)
	return s, b, nil
}
