// Package cli is what the command lines of both binaries have in common: the
// flag for the version, and the exit codes of errors.
package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/version"
)

// Exit codes of every command.
const (
	ExitFailed = 1
	ExitUsage  = 2
)

// Coded is an error with its own exit code.
type Coded interface {
	error
	ExitCode() int
}

type options struct {
	Version func() `long:"version" description:"Print the version and exit"`
}

// Run parses the arguments, runs the command that they name, and exits unless it
// succeeded.
func Run(program string, register func(*flags.Parser)) {
	opts := options{Version: func() {
		fmt.Println(program, version.String())
		os.Exit(0)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	register(parser)
	if _, err := parser.Parse(); err != nil {
		exit(err)
	}
}

// Add registers a command under a parent; a failure is a defect of the program.
func Add(parent *flags.Command, name, short, long string, command any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, command)
	if err != nil {
		panic(err)
	}
	return c
}

func exit(err error) {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			os.Exit(0)
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		os.Exit(ExitUsage)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(CodeOf(err))
}

// CodeOf returns the exit code of an error.
func CodeOf(err error) int {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}
