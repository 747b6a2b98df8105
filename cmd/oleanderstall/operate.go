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

// remote is the entry that an operator's command calls.
type remote struct {
	Entry string `long:"entry" env:"OLEANDERSTALL_ENTRY" required:"yes" description:"URL of an entry's operator listener."`
	Token string `long:"token" env:"OLEANDERSTALL_TOKEN" required:"yes" description:"The operator's token; better given by the environment."`
}

func (r *remote) client() *operator.Client { return operator.NewClient(r.Entry, r.Token) }

// show prints an answer as indented JSON.
func show(data []byte, err error) error {
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
	remote
	Args struct {
		File string `positional-arg-name:"FILE" description:"Intent as JSON, or - for standard input."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *intentCommand) Execute([]string) error {
	data, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	return show(c.client().Intent(context.Background(), data))
}

func readInput(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "read intent")
}

// planned names one plan.
type planned struct {
	Args struct {
		ID string `positional-arg-name:"PLAN"`
	} `positional-args:"yes" required:"yes"`
}

// planCommand prints a plan.
type planCommand struct {
	remote
	planned
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	return show(c.client().Plan(context.Background(), c.Args.ID))
}

// confirmCommand confirms a plan.
type confirmCommand struct {
	remote
	planned
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	return show(c.client().Confirm(context.Background(), c.Args.ID))
}

// keyCommand grants or withdraws a key.
type keyCommand struct {
	Grant    grantCommand    `command:"grant" description:"Make a key for a workspace and print it once."`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a key by its id."`
}

// grantCommand makes a key.
type grantCommand struct {
	remote
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *grantCommand) Execute([]string) error {
	return show(c.client().Grant(context.Background(), c.Args.Workspace))
}

// withdrawCommand withdraws a key.
type withdrawCommand struct {
	remote
	Args struct {
		ID string `positional-arg-name:"KEY-ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return show(c.client().Withdraw(context.Background(), c.Args.ID))
}

// statusCommand shows the state of the fleet.
type statusCommand struct {
	remote
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return show(c.client().Status(context.Background()))
}

// explainCommand shows the records of the entries about a subject. Without an entry
// it prints the story of a request from the logs on standard input.
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
		return c.narrate()
	}
	r := remote{Entry: c.Entry, Token: c.Token}
	return show(r.client().Explain(context.Background(), c.Args.Subject))
}

// narrate prints the story of a request from standard input.
func (c *explainCommand) narrate() error {
	lines, err := narrator.Read(os.Stdin)
	if err != nil {
		return err
	}
	story, err := narrator.Story(lines, c.Args.Subject)
	if err != nil {
		return err
	}
	return narrator.Print(os.Stdout, story)
}

// dumpCommand shows the state of a process.
type dumpCommand struct {
	remote
	Args struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	return show(c.client().Dump(context.Background(), c.Args.Instance))
}
