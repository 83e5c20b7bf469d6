// Command mwctl is the command-line tool for operators.
package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/cli"
)

// exitError is the error of a failed command with its exit code.
type exitError struct {
	error
	code int
}

// ExitCode implements cli.ExitCoder.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error without the exit code.
func (e exitError) Unwrap() error { return e.error }

func main() { cli.Run("mwctl", register) }

func register(parser *flags.Parser) {
	addConfig(parser)
	addCall(parser)
	addStatus(parser)
	addExplain(parser)
	addBurn(parser)
	addLoad(parser)
}
