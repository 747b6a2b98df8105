package dispatcher

import (
	"fmt"
	"time"

	"oleanderstall/quarantiner"
	"oleanderstall/refuser"
)

// Fingerprints returns the fingerprints of what r has in common with other requests: the parts
// of its prompt except the last one, which is its own, and its whole content.
func (r *Request) Fingerprints() []quarantiner.Fingerprint {
	var prints []quarantiner.Fingerprint
	for i := range len(r.Prompt) - 1 {
		prints = append(prints, quarantiner.Fingerprint{ID: r.Prompt[i].ID, Depth: i})
	}
	if r.Digest != 0 {
		prints = append(prints, quarantiner.Fingerprint{ID: r.Digest, Depth: len(r.Prompt)})
	}
	return prints
}

// QuarantineRefusal returns the refusal of a request under a quarantine. The caller may retry
// when the quarantine ends.
func QuarantineRefusal(now time.Duration, q *quarantiner.Quarantine) error {
	text := fmt.Sprintf("backend servers crash on part %x of the request: %d times, first %v ago",
		q.ID(), q.Crashes(), (now - q.Since()).Round(time.Second/10))
	return refuser.New(refuser.Quarantined, text).WithRetryAfter(q.Until() - now)
}

// MayBeCrash reports whether an attempt ended as it does when its backend server crashes
// before it answers: the connection was lost after the request may have arrived.
func (result AttemptResult) MayBeCrash() bool {
	if result.Err == nil || result.Answered {
		return false
	}
	refusal := refuser.FromError(result.Err)
	return refusal.Kind() == refuser.ConnectionLost && !refusal.NeverRan()
}
