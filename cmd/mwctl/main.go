// Command mwctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/version"
)

// exitUsage is the exit code for wrong usage; the others stand with each command.
const exitUsage = 2

type options struct {
	Version func() `long:"version" description:"Print the version and exit"`
}

// exitError carries the exit code of a command that failed.
type exitError struct {
	error
	code int
}

func main() {
	opts := options{Version: func() {
		fmt.Println("mwctl", version.String())
		os.Exit(0)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	addConfig(parser)
	addCall(parser)
	addStatus(parser)
	addBurn(parser)
	addLoad(parser)
	if _, err := parser.Parse(); err != nil {
		exit(err)
	}
}

func exit(err error) {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			os.Exit(0)
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		os.Exit(exitUsage)
	}
	fmt.Fprintln(os.Stderr, err)
	var coded exitError
	if errors.As(err, &coded) {
		os.Exit(coded.code)
	}
	os.Exit(1)
}
