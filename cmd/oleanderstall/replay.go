package main

import (
	"os"
	"path/filepath"
	"strings"

	"oleanderstall/replayer"
)

// replayCommand replays traces under several policies and reports how they compare.
type replayCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"Seed of the routing's requests."`
	Out  string `long:"out" description:"Directory for the report as JSON and as SVG."`
	Args struct {
		Traces []string `positional-arg-name:"TRACE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// TraceError reports a trace file that is not named after a known fleet.
type TraceError struct {
	Path string
}

// Error names the file.
func (e *TraceError) Error() string {
	return e.Path + " is not named after a known fleet, plooiwerk or granite"
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	for _, path := range c.Args.Traces {
		if err := c.replay(path); err != nil {
			return err
		}
	}
	return nil
}

// replay replays one trace. It prints the report, and saves it and its plot if a
// directory is given.
func (c *replayCommand) replay(path string) error {
	name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
	fleet, ok := map[string]replayer.Fleet{
		replayer.Plooiwerk.Name: replayer.Plooiwerk,
		replayer.Granite.Name:   replayer.Granite,
	}[name]
	if !ok {
		return &TraceError{Path: path}
	}
	events, err := replayer.ReadTrace(path)
	if err != nil {
		return err
	}
	report := replayer.Replay(fleet, events, c.Seed)
	if err := report.Print(os.Stdout); err != nil || c.Out == "" {
		return err
	}
	if err := report.Save(filepath.Join(c.Out, name+".json")); err != nil {
		return err
	}
	return report.Plot(filepath.Join(c.Out, name+".svg"))
}
