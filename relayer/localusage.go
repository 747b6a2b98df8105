package relayer

import (
	"maps"
	"time"
)

// usageHistory is the shortest time for which token usage is kept for a data centre that
// has not confirmed any totals: it is first sent the usage of the last one to two such
// periods.
const usageHistory = 2 * time.Second

// localUsage is the tokens used through the entries linked to a relay, by workspace, as sent
// to the other data centres. Usage that a relay there has not confirmed is sent again to its
// successor.
type localUsage struct {
	total map[string]float64
	// recent and older are copies of total from the last two rotations, the latest of which
	// was at rotatedAt.
	recent    map[string]float64
	older     map[string]float64
	rotatedAt time.Duration
	// confirmed holds the totals that each data centre has confirmed.
	confirmed map[string]map[string]float64
}

func newLocalUsage() *localUsage {
	return &localUsage{
		total:     map[string]float64{},
		recent:    map[string]float64{},
		older:     map[string]float64{},
		confirmed: map[string]map[string]float64{},
	}
}

// add adds tokens used.
func (u *localUsage) add(used map[string]float64) { addAll(u.total, used) }

// rotate copies the totals once every usageHistory.
func (u *localUsage) rotate(now time.Duration) {
	if now-u.rotatedAt < usageHistory {
		return
	}
	u.older, u.recent, u.rotatedAt = u.recent, maps.Clone(u.total), now
}

// baseline returns the totals beyond which usage is sent to a data centre.
func (u *localUsage) baseline(centre string) map[string]float64 {
	if totals, ok := u.confirmed[centre]; ok {
		return totals
	}
	return maps.Clone(u.older)
}

// since returns the tokens used beyond the totals sent, and the present totals.
func (u *localUsage) since(sent map[string]float64) (used, total map[string]float64) {
	used = map[string]float64{}
	for name, tokens := range u.total {
		if delta := tokens - sent[name]; delta != 0 {
			used[name] = delta
		}
	}
	if len(used) == 0 {
		return used, sent
	}
	return used, maps.Clone(u.total)
}

// sentTotal is the number of a batch and the totals up to which it included usage.
type sentTotal struct {
	number uint64
	total  map[string]float64
}

// nextTokenUsage returns the tokens used since the last batch with usage to another relay,
// for the batch of that number.
func (lp *linkedProcess) nextTokenUsage(u *localUsage, number uint64) map[string]float64 {
	used, total := u.since(lp.sentTotals)
	if len(used) > 0 {
		lp.sentTotals = total
		lp.unconfirmedTotals = append(lp.unconfirmedTotals, sentTotal{number: number, total: total})
	}
	return used
}

// confirmBatches handles the confirmation of all batches up to a number by another relay.
// Their totals count as confirmed by that relay's data centre only if relayServing is set,
// which says that processes other than relays are linked there.
func (lp *linkedProcess) confirmBatches(u *localUsage, number uint64, relayServing bool) {
	for len(lp.unconfirmedTotals) > 0 && lp.unconfirmedTotals[0].number <= number {
		if relayServing {
			u.confirmed[lp.link.GetCentre()] = lp.unconfirmedTotals[0].total
		}
		lp.unconfirmedTotals = lp.unconfirmedTotals[1:]
	}
}
