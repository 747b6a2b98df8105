package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions. A case returns the violations that it saw.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"adapters": adaptersCase,
	"retired":  retiredCase,
	"resized":  resizedCase,
	"reuse":    reuseCase,
	"method":   methodCase,
	"split":    splitCase,
	"drill":    drillCase,
	"fence":    fenceCase,
	"unframed": unframedCase,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "serve-streams" {
		fmt.Fprintln(os.Stderr, serveStreams(os.Args[2]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	f.log("case %s, disruption %t", name, trouble)
	violations, err := cases[name](f, trouble)
	if err != nil {
		f.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		f.log("BROKEN: %s", v)
		fmt.Println("BROKEN:", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	f.log("the rule held")
	return exitHeld
}
