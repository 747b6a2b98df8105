package relayer

import (
	"time"

	"oleanderstall/timer"
	"oleanderstall/wire"
)

// SetConfigFresh records that the configuration here was the newest as of an instant, and returns
// the time since the latest such instant.
func (fs *FleetState) SetConfigFresh(now, asOf time.Duration) time.Duration {
	fs.configFreshAsOf = max(fs.configFreshAsOf, asOf)
	return now - fs.configFreshAsOf
}

// applyConfigVersion records what a batch of another relay says about the configuration: that the
// one here was the newest as of some instant, or that the relay has a newer one.
func (fs *FleetState) applyConfigVersion(now time.Duration, address string, batch *wire.Batch) {
	version := fs.config.View().Version()
	switch {
	case batch.GetConfig() == version:
		fs.SetConfigFresh(now, now-timer.FromMillis(batch.GetFresh()))
	case batch.GetConfig() > max(version, fs.newerConfig):
		fs.newerConfig, fs.newerConfigAddress = batch.GetConfig(), address
	}
}

// NewerConfig returns the version of the newest configuration that another relay has, and the
// relay's address. The version is 0 if none is newer than the one here.
func (fs *FleetState) NewerConfig() (version uint64, address string) {
	if fs.newerConfig <= fs.config.View().Version() {
		fs.newerConfig, fs.newerConfigAddress = 0, ""
	}
	return fs.newerConfig, fs.newerConfigAddress
}
