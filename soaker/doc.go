// Package soaker runs entries and sidecars as separate processes against a stand-in
// site and injects faults from outside the processes, drawn from a seed. It then
// checks the documented guarantees against what callers and backend servers observed.
// The package contains only tests:
//
//	go test ./soaker -run TestSoak$ -seeds 50 -first 1 -seconds 30 -entries 4 -sidecars 6
//
// TestSoakFatalPart adds requests on which engines crash, TestSoakStreamEnds faulty answers of the
// backend servers and odd rows of another writer. Each promise that the latter checks is a
// function in promise_test.go. With -program FILE another build of the program is tested.
//
// It signals only processes that it started. The logs of a failed seed are kept in
// the directory that the test prints, with the faults and their times in faults.log.
package soaker
