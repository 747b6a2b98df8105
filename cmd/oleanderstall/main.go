// Command oleanderstall runs and operates a fleet of processes that serve rarely
// used language models and plain services.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// commands lists the commands of the binary.
type commands struct {
	Entry   roleCommand    `command:"entry" description:"Run an entry instance."`
	Sidecar roleCommand    `command:"sidecar" description:"Run the sidecar of a backend server."`
	Check   checkCommand   `command:"check" description:"Check a settings file."`
	Standin standinCommand `command:"standin" description:"Run a stand-in of an outside system."`
	Demo    demoCommand    `command:"demo" description:"Run a whole fleet in this process and send a request."`
	Replay  replayCommand  `command:"replay" description:"Replay traces under several policies."`
	Rounds  roundsCommand  `command:"rounds" description:"Show the worth of the days that were played, by round, from a journal."`
	Intent  intentCommand  `command:"intent" description:"Send an intent and print the plan."`
	Plan    planCommand    `command:"plan" description:"Print a plan."`
	Confirm confirmCommand `command:"confirm" description:"Bring a plan into force."`
	Key     keyCommand     `command:"key" description:"Grant or withdraw a caller's key."`
	Status  statusCommand  `command:"status" description:"Show which version is in force where."`
	Explain explainCommand `command:"explain" description:"Show why decisions were taken."`
	Dump    dumpCommand    `command:"dump" description:"Show the state of a process."`
}

// main runs a command. The exit status is 2 for a wrong command line and 1 for a
// command that failed.
func main() {
	var all commands
	all.Entry.role = "entry"
	all.Sidecar.role = "sidecar"
	parser := flags.NewParser(&all, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &flagsErr):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
