package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"oleanderstall/narrator"
	"oleanderstall/operator"
)

// entryClient holds the flags of commands that call an entry's operator API.
type entryClient struct {
	Entry string `long:"entry" env:"OLEANDERSTALL_ENTRY" required:"yes" description:"URL of an entry's operator listener."`
	Token string `long:"token" env:"OLEANDERSTALL_TOKEN" required:"yes" description:"The operator's token; better given by the environment."`
}

// newClient returns a client of the entry.
func (e *entryClient) newClient() *operator.Client { return operator.NewClient(e.Entry, e.Token) }

// printJSON prints an answer as indented JSON. It returns err if that is not nil.
func printJSON(data []byte, err error) error {
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, data, "", "  "); err != nil {
		return eris.Wrap(err, "format answer")
	}
	fmt.Println(out.String())
	return nil
}

// intentCommand sends an intent.
type intentCommand struct {
	entryClient
	Args struct {
		File string `positional-arg-name:"FILE" description:"Intent as JSON, or - for standard input."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *intentCommand) Execute([]string) error {
	data, err := readIntent(c.Args.File)
	if err != nil {
		return err
	}
	return printJSON(c.newClient().Intent(context.Background(), data))
}

// readIntent reads the named file, or standard input if the name is "-".
func readIntent(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "read intent")
}

// planArgument is the positional argument of commands on one plan.
type planArgument struct {
	Args struct {
		ID string `positional-arg-name:"PLAN"`
	} `positional-args:"yes" required:"yes"`
}

// planCommand prints a plan.
type planCommand struct {
	entryClient
	planArgument
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	return printJSON(c.newClient().Plan(context.Background(), c.Args.ID))
}

// confirmCommand confirms a plan.
type confirmCommand struct {
	entryClient
	planArgument
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	return printJSON(c.newClient().Confirm(context.Background(), c.Args.ID))
}

// keyCommand grants or withdraws a key.
type keyCommand struct {
	Grant    grantCommand    `command:"grant" description:"Make a key for a workspace and print it once."`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a key by its id."`
}

// grantCommand makes a key.
type grantCommand struct {
	entryClient
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *grantCommand) Execute([]string) error {
	return printJSON(c.newClient().Grant(context.Background(), c.Args.Workspace))
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	entryClient
	Args struct {
		ID string `positional-arg-name:"KEY-ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return printJSON(c.newClient().Withdraw(context.Background(), c.Args.ID))
}

// statusCommand shows the state of the fleet.
type statusCommand struct {
	entryClient
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return printJSON(c.newClient().Status(context.Background()))
}

// explainCommand shows the fleet's decision records about a subject. Without an entry it
// prints the timeline of a request from the logs on standard input.
type explainCommand struct {
	Entry string `long:"entry" env:"OLEANDERSTALL_ENTRY" description:"URL of an entry's operator listener; without it, logs are read from standard input."`
	Token string `long:"token" env:"OLEANDERSTALL_TOKEN" description:"The operator's token; better given by the environment."`
	Args  struct {
		Subject string `positional-arg-name:"SUBJECT" description:"Such as model/NAME or request/ID; with logs, the id of a request."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Entry == "" {
		return c.printTimeline()
	}
	entry := entryClient{Entry: c.Entry, Token: c.Token}
	return printJSON(entry.newClient().Explain(context.Background(), c.Args.Subject))
}

// printTimeline prints the timeline of a request from the logs on standard input.
func (c *explainCommand) printTimeline() error {
	lines, err := narrator.Read(os.Stdin)
	if err != nil {
		return err
	}
	timeline, err := narrator.Timeline(lines, c.Args.Subject)
	if err != nil {
		return err
	}
	return narrator.Print(os.Stdout, timeline)
}

// dumpCommand shows the state of a process.
type dumpCommand struct {
	entryClient
	Args struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	return printJSON(c.newClient().Dump(context.Background(), c.Args.Instance))
}
