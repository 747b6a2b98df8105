package holder

import (
	"oleanderstall/limiter"
	"oleanderstall/refuser"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Charge takes tokens from a bucket share on behalf of an entry. If the share has fewer
// tokens than wanted, it grants those that it has.
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

// Refund returns tokens of an earlier charge to its bucket share. It ignores a charge of
// an earlier tenure, since the share was empty when this tenure started.
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

// bucket returns a bucket share that this entry holds, with the rate and burst that are
// configured now. It returns a refusal if this entry does not hold the shard or if there
// is no such share. The caller holds the lock.
func (h *Holder) bucket(workspace string, index uint32) (*shard, *limiter.Bucket, error) {
	s, err := h.heldShard(BucketShard(workspace, index, h.options.Shards))
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
	key := bucketShare{workspace: workspace, index: index}
	b := s.buckets[key]
	if b == nil {
		b = limiter.NewBucket(s.tenureStart, rate, burst)
		s.buckets[key] = b
	}
	b.Resize(now, rate, burst)
	return s, b, nil
}
