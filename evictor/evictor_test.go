package evictor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var defaultOptions = Options{ColdStart: 30 * time.Second, IdleCost: 0.05, MaxIdle: time.Hour}

// history returns the history of n requests at equal gaps, and the instant one gap after the
// last of them.
func history(gap time.Duration, n int) (*History, time.Duration) {
	h, now := &History{}, time.Hour
	for range n {
		h.RecordRequest(now)
		now += gap
	}
	return h, now
}

func TestKeep(t *testing.T) {
	tests := []struct {
		name     string
		gap      time.Duration
		options  Options
		shortest time.Duration
		longest  time.Duration
	}{
		{name: "frequent", gap: 20 * time.Second, options: defaultOptions, shortest: 20 * time.Second, longest: 5 * time.Minute},
		{name: "hourly requests do not justify it", gap: time.Hour, options: defaultOptions, shortest: minKeepAlive, longest: minKeepAlive},
		{name: "cheap load", gap: 20 * time.Second, options: Options{ColdStart: 5 * time.Millisecond, IdleCost: 0.05, MaxIdle: time.Hour}, shortest: minKeepAlive, longest: minKeepAlive},
		{name: "frequent with a cheap load", gap: time.Millisecond, options: Options{ColdStart: 5 * time.Millisecond, IdleCost: 0.05, MaxIdle: time.Hour}, shortest: minKeepAlive, longest: time.Minute},
		{name: "longest idle time", gap: 20 * time.Second, options: Options{ColdStart: time.Minute, IdleCost: 0, MaxIdle: 10 * time.Second}, longest: 10 * time.Second},
		{name: "idle costs nothing", gap: time.Minute, options: Options{ColdStart: time.Minute, MaxIdle: time.Hour}, shortest: time.Minute, longest: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := history(tt.gap, 50)
			keepAlive := h.KeepAlive(tt.options)
			assert.Assert(t, keepAlive >= tt.shortest && keepAlive <= tt.longest, "kept for %v", keepAlive)
		})
	}
}

// TestKeepWithoutHistory checks that a model without history is kept until its idle cost
// equals one cold start.
func TestKeepWithoutHistory(t *testing.T) {
	h := &History{}
	assert.Equal(t, h.KeepAlive(defaultOptions), 10*time.Minute)
	assert.Equal(t, h.KeepAlive(Options{ColdStart: time.Hour, IdleCost: 0.01, MaxIdle: time.Minute}), time.Minute)
}

func TestVictims(t *testing.T) {
	all := []Resident{
		{Model: "busy", Bytes: 100, Busy: true},
		{Model: "late", Bytes: 50, LastRequest: 10 * time.Second, KeepAlive: time.Minute},
		{Model: "soon", Bytes: 50, LastRequest: 20 * time.Second, KeepAlive: time.Second},
	}
	victims := Victims(all, 40)
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].Model, "soon")
	assert.Equal(t, len(Victims(all, 90)), 2)
	assert.Assert(t, Victims(all, 101) == nil)
	expired := Expired(30*time.Second, all)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Model, "soon")
}
