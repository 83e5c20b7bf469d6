package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/cli"
	"github.com/magnoliawheel/magnoliawheel/internal/explain"
)

type explainCommand struct {
	Args struct {
		Files []string `positional-arg-name:"LOGFILE... ID" required:"2"`
	} `positional-args:"true"`
}

// addExplain registers the command that prints a request's decisions from log files.
func addExplain(parser *flags.Parser) {
	cli.AddCommand(parser.Command, "explain", "Print what was decided about a request, in order",
		"Reads the logs of any number of entries; lines that are no JSON objects are passed over.\n"+
			"Exit codes: 0 printed, 1 nothing found or a file can't be read.\n"+
			"Example: mwctl explain front-1.log front-2.log 9c41d07be2a35f68", &explainCommand{})
}

// Execute prints the decisions about the request in order.
func (c *explainCommand) Execute([]string) error {
	last := len(c.Args.Files) - 1
	id := c.Args.Files[last]
	lines, err := explain.ReadFiles(c.Args.Files[:last], id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line about request %q", id)
	}
	return explain.Write(os.Stdout, lines)
}
