//go:build race

package bubbler

const raceEnabled = true
