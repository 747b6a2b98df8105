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

// Durations of one measurement of an idle fleet: the time before it starts and its length.
const (
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
)

// usage is the resource usage of a process since its start.
type usage struct {
	cpu time.Duration
	// memory is the resident set, in bytes.
	memory uint64
	// sent and read are the bytes of all writes and reads.
	sent uint64
	read uint64
}

// usageOf reads the usage of a process from /proc, where CPU time is in ticks of 10 ms.
// The bytes of all its reads and writes approximate its network traffic.
func usageOf(t testing.TB, pid int) usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	ticks := parseNumber(t, fields[11]) + parseNumber(t, fields[12])
	pages := parseNumber(t, fields[21])
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	assert.NilError(t, err)
	used := usage{cpu: time.Duration(ticks) * 10 * time.Millisecond, memory: pages * uint64(os.Getpagesize())}
	for _, line := range strings.Split(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "rchar":
			used.read = parseNumber(t, value)
		case "wchar":
			used.sent = parseNumber(t, value)
		}
	}
	return used
}

// parseNumber parses a decimal number.
func parseNumber(t testing.TB, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	assert.NilError(t, err)
	return n
}

// BenchmarkSlopeFleet measures the control traffic and resource usage of an idle fleet of
// separate processes, by its size: 40 entries for every 60 sidecars, and all sidecars with
// one engine stand-in. The metrics of a role are means over its processes.
func BenchmarkSlopeFleet(b *testing.B) {
	for _, size := range []int{10, 50, 150} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, size)
			}
		})
	}
}

// measureFleet measures an idle fleet of size processes once.
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
	getJSON(b, c.url(platform)+"/stats", &before)
	start := c.sampleUsage(b)
	time.Sleep(measureTime)
	end := c.sampleUsage(b)
	getJSON(b, c.url(platform)+"/stats", &after)
	seconds := measureTime.Seconds()
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Lists-before.Lists)/seconds, "lists/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	reportUsage(b, "entry", start[0], end[0])
	reportUsage(b, "sidecar", start[1], end[1])
	for _, p := range append(c.entries, platform, engine) {
		p.kill()
	}
	for _, p := range c.sidecars {
		p.kill()
	}
}

// sampleUsage returns the usage of all entries and that of all sidecars.
func (c *cluster) sampleUsage(t testing.TB) [2][]usage {
	var all [2][]usage
	for _, p := range c.entries {
		all[0] = append(all[0], usageOf(t, p.command.Process.Pid))
	}
	for _, p := range c.sidecars {
		all[1] = append(all[1], usageOf(t, p.command.Process.Pid))
	}
	return all
}

// reportUsage reports the mean usage of a role's processes between two samples.
func reportUsage(b *testing.B, role string, start, end []usage) {
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
