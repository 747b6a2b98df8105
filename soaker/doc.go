// Package soaker runs entries and sidecars as separate processes on a stand-in site,
// injects faults from outside them, drawn from a seed, and checks the promises of
// the users' pages from what callers and backend servers see. It holds only tests:
//
//	go test ./soaker -run TestSoak -seeds 50 -first 1 -seconds 30 -entries 4 -sidecars 6
//
// It ends only processes that it started. The logs of a seed that failed are kept in
// the folder that it names.
package soaker
