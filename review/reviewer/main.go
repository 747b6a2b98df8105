// Command reviewer plays the cases of the review that are scripts. It starts entries and sidecars as
// separate processes beside stand-ins of the platform's store, of engines, services and requesters.
//
//	reviewer CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the case's rule was broken, with 0 if it held, and
// with 2 if the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(log *record, trouble bool) bool{
	"adapters": adapters,
	"holders":  holders,
	"orders":   orders,
	"unframed": unframed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: reviewer CASE FOLDER")
		os.Exit(2)
	}
	log := newRecord(filepath.Join(os.Args[2], "record.txt"))
	var err error
	folder, err = os.MkdirTemp("", "reviewer-*")
	check(err)
	time.AfterFunc(115*time.Second, func() { check(fmt.Errorf("the case took too long")) })
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, trouble %t", os.Args[1], trouble)
	if cases[os.Args[1]](log, trouble) {
		log.say("the rule was BROKEN")
		quit(1)
	}
	log.say("the rule held")
	quit(0)
}
