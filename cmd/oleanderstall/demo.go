package main

import (
	"context"

	"oleanderstall/demonstrator"
)

// demoCommand runs a demonstration fleet in this process.
type demoCommand struct{}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	return demonstrator.Run(context.Background())
}
