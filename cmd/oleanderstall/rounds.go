package main

import (
	"os"

	"oleanderstall/historian"
)

// roundsCommand prints the value of the simulated days of a journal, by round.
type roundsCommand struct {
	Out  string `long:"out" description:"File for a plot, SVG or PNG."`
	Days int    `long:"days" default:"5" description:"Fewest different days of a round that is shown."`
	Args struct {
		Journal string `positional-arg-name:"JOURNAL" description:"Directory of the journal."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *roundsCommand) Execute([]string) error {
	entries, err := historian.Read(c.Args.Journal)
	if err != nil {
		return err
	}
	rounds := historian.Rounds(entries, c.Days)
	if err := historian.Print(os.Stdout, rounds); err != nil || c.Out == "" {
		return err
	}
	return historian.Plot(rounds, c.Out)
}
