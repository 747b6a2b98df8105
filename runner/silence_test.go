package runner

import (
	"fmt"
	"testing"
	"time"
)

// TestConfigurationAfterSilence guards against entries that keep an old configuration because the
// store has swallowed a call for changes, which is never answered: silences of several lengths,
// with changes just before, in, at the end of and after each. The calls for changes are renewed by
// the change before.
func TestConfigurationAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		// early is the time from the change before to the silence, late that from its end to the
		// change after.
		early, late time.Duration
	}{
		{"renewed in a short silence", 400 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"renewed in a long silence", 4 * time.Second, 100 * time.Millisecond, 0},
		{"renewed just before", 1500 * time.Millisecond, 300 * time.Millisecond, 0},
		{"answer swallowed", 1500 * time.Millisecond, 0, 500 * time.Millisecond},
		{"change long after", 1500 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			runParallel(t)
			f := newHostedFleet(t, smallSite())
			f.startEntry(2)
			stop := f.watchVersions()
			defer stop()
			for i := range 3 {
				f.configure(fmt.Sprint("before-", i))
				time.Sleep(c.early)
				f.site.Rows.SetSilent(true)
				time.Sleep(c.silence / 2)
				inside := f.configure(fmt.Sprint("inside-", i))
				time.Sleep(c.silence / 2)
				f.site.Rows.SetSilent(false)
				ended := time.Now()
				f.assertInForce(inside, ended.Add(contactTime), "change in the silence")
				time.Sleep(c.late)
				version := f.configure(fmt.Sprint("after-", i))
				by := time.Now().Add(configTime)
				if stable := ended.Add(contactTime); stable.After(by) {
					by = stable
				}
				f.assertInForce(version, by, "change after the silence")
				time.Sleep(time.Second)
			}
		})
	}
}
