package tracker

import "time"

// PromptPrefix is the beginning of a prompt: a key that requests with the same beginning for the
// same model share, and its length in tokens.
type PromptPrefix struct {
	Key    uint64
	Tokens int
}

const (
	// promptTTL is how long a server is assumed to keep what it has read of a prompt.
	promptTTL = 30 * time.Second
	// promptHalfSize is the number of beginnings of prompts in one half of a promptTable.
	promptHalfSize = 256
)

// promptTable holds the beginnings of prompts that were sent to a server lately, with the instants.
// It has two halves: once the newer one is full, it replaces the older one.
type promptTable struct {
	newer, older map[uint64]time.Duration
}

// add records the beginnings of a prompt that is sent to the server.
func (t *promptTable) add(now time.Duration, prompt []PromptPrefix) {
	for _, p := range prompt {
		if t.newer == nil || len(t.newer) >= promptHalfSize {
			t.newer, t.older = map[uint64]time.Duration{}, t.newer
		}
		t.newer[p.Key] = now
	}
}

// has reports whether a prompt with a beginning was sent to the server within promptTTL.
func (t *promptTable) has(now time.Duration, key uint64) bool {
	sentAt, ok := t.newer[key]
	if !ok {
		sentAt, ok = t.older[key]
	}
	return ok && now-sentAt <= promptTTL
}

// CachedTokens returns the length of the longest beginning of a prompt, listed from the shortest
// one, that the server need not read again.
func (b *Backend) CachedTokens(now time.Duration, prompt []PromptPrefix) int {
	tokens := 0
	for _, p := range prompt {
		if !b.estimates.prompts.has(now, p.Key) {
			break
		}
		tokens = p.Tokens
	}
	return tokens
}
