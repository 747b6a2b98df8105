package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// Durations of one measurement of an idle fleet.
const (
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
)

// usage is what a process has used so far.
type usage struct {
	cpu    time.Duration
	memory uint64
	sent   uint64
	read   uint64
}

// usageOf reads the usage of a process from the kernel. Its network bytes are
// those of its reads and writes.
func usageOf(t testing.TB, pid int) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	ticks := number(t, fields[11]) + number(t, fields[12])
	pages := number(t, fields[21])
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	assert.NilError(t, err)
	u := usage{cpu: time.Duration(ticks) * 10 * time.Millisecond, memory: pages * uint64(os.Getpagesize())}
	for _, line := range strings.Split(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "rchar":
			u.read = number(t, value)
		case "wchar":
			u.sent = number(t, value)
		}
	}
	return u
}

func number(t testing.TB, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	assert.NilError(t, err)
	return n
}

// BenchmarkSlopeFleet measures the control work of an idle fleet of separate
// processes: 40 entries for every 60 sidecars, all sidecars before one engine
// stand-in. Metrics are means over the processes of a role, each second.
func BenchmarkSlopeFleet(b *testing.B) {
	for _, size := range []int{10, 50, 150} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	platform := launch(b, "standin", "platform")
	engine := launch(b, "standin", "engine")
	c := &cluster{t: b, platform: platform, backends: map[string]*proc{}, sidecars: map[string]*proc{}}
	for i := range size {
		if i%5 < 2 {
			c.startEntry(fmt.Sprintf("entry-%03d", i))
			continue
		}
		name := fmt.Sprintf("engine-%03d", i)
		c.backends[name] = engine
		c.startSidecar(name, "engine", "models")
	}
	time.Sleep(settleTime)
	var before, after imitator.Stats
	fetch(b, c.url(platform)+"/stats", &before)
	start := c.sample(b)
	time.Sleep(measureTime)
	end := c.sample(b)
	fetch(b, c.url(platform)+"/stats", &after)
	seconds := measureTime.Seconds()
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Lists-before.Lists)/seconds, "lists/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	report(b, "entry", start[0], end[0])
	report(b, "sidecar", start[1], end[1])
	for _, p := range append(c.entries, platform, engine) {
		p.kill()
	}
	for _, p := range c.sidecars {
		p.kill()
	}
}

// sample reads the usage of all entries and all sidecars.
func (c *cluster) sample(t testing.TB) [2][]usage {
	var all [2][]usage
	for _, p := range c.entries {
		all[0] = append(all[0], usageOf(t, p.command.Process.Pid))
	}
	for _, p := range c.sidecars {
		all[1] = append(all[1], usageOf(t, p.command.Process.Pid))
	}
	return all
}

func report(b *testing.B, role string, start, end []usage) {
	var cpu time.Duration
	var memory, bytes uint64
	for i := range end {
		cpu += end[i].cpu - start[i].cpu
		memory += end[i].memory
		bytes += end[i].read + end[i].sent - start[i].read - start[i].sent
	}
	n, seconds := float64(len(end)), measureTime.Seconds()
	b.ReportMetric(100*cpu.Seconds()/n/seconds, role+"-core%")
	b.ReportMetric(float64(memory)/n/1e6, role+"-MB")
	b.ReportMetric(float64(bytes)/n/seconds/1e3, role+"-KB/s")
}
