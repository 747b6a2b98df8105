package evictor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var terms = Options{Cold: 30 * time.Second, Idle: 0.05, End: time.Hour}

func history(gap time.Duration, n int) (*History, time.Duration) {
	h, now := &History{}, time.Hour
	for range n {
		h.Arrive(now)
		now += gap
	}
	return h, now
}

func TestKeep(t *testing.T) {
	tests := []struct {
		name  string
		gap   time.Duration
		terms Options
		least time.Duration
		most  time.Duration
	}{
		{name: "frequent", gap: 20 * time.Second, terms: terms, least: 20 * time.Second, most: 5 * time.Minute},
		{name: "hourly is not worth it", gap: time.Hour, terms: terms, least: floor, most: floor},
		{name: "cheap load", gap: 20 * time.Second, terms: Options{Cold: 5 * time.Millisecond, Idle: 0.05, End: time.Hour}, least: floor, most: floor},
		{name: "busy with a cheap load", gap: time.Millisecond, terms: Options{Cold: 5 * time.Millisecond, Idle: 0.05, End: time.Hour}, least: floor, most: time.Minute},
		{name: "hard end", gap: 20 * time.Second, terms: Options{Cold: time.Minute, Idle: 0, End: 10 * time.Second}, most: 10 * time.Second},
		{name: "idle costs nothing", gap: time.Minute, terms: Options{Cold: time.Minute, End: time.Hour}, least: time.Minute, most: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := history(tt.gap, 50)
			keep := h.Keep(tt.terms)
			assert.Assert(t, keep >= tt.least && keep <= tt.most, "kept for %v", keep)
		})
	}
}

// TestKeepWithoutHistory holds for the time at which idling has cost one load.
func TestKeepWithoutHistory(t *testing.T) {
	h := &History{}
	assert.Equal(t, h.Keep(terms), 10*time.Minute)
	assert.Equal(t, h.Keep(Options{Cold: time.Hour, Idle: 0.01, End: time.Minute}), time.Minute)
}

func TestVictims(t *testing.T) {
	all := []Resident{
		{Model: "busy", Bytes: 100, Busy: true},
		{Model: "late", Bytes: 50, Last: 10 * time.Second, Keep: time.Minute},
		{Model: "soon", Bytes: 50, Last: 20 * time.Second, Keep: time.Second},
	}
	chosen := Victims(all, 40)
	assert.Equal(t, len(chosen), 1)
	assert.Equal(t, chosen[0].Model, "soon")
	assert.Equal(t, len(Victims(all, 90)), 2)
	assert.Assert(t, Victims(all, 101) == nil)
	ended := Expired(30*time.Second, all)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Model, "soon")
}
