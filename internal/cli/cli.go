// Package cli provides what the command lines of both binaries share: the version flag
// and exit codes for errors.
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

// ExitCoder is an error with its own exit code.
type ExitCoder interface {
	error
	ExitCode() int
}

type options struct {
	Version func() `long:"version" description:"Print the version and exit"`
}

// Run parses the arguments and runs the selected command. If that fails, it exits.
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

// AddCommand adds a subcommand to parent. It panics on an error, which can only be a
// programming error.
func AddCommand(parent *flags.Command, name, short, long string, command any) *flags.Command {
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
	os.Exit(ExitCode(err))
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var coded ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}
