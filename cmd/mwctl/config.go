package main

import (
	"github.com/jessevdk/go-flags"
)

// configCommand groups the commands about configuration.
type configCommand struct{}

// addConfig registers the commands about configuration.
func addConfig(parser *flags.Parser) {
	group := add(parser.Command, "config", "Check, apply and look at the configuration",
		"Example: mwctl config check schema.toml", &configCommand{})
	add(group, "check", "List all mistakes of a schema file",
		"Reads a schema file and lists all its mistakes with line and key. Needs no connection.\n"+
			"Exit codes: 0 valid, 3 mistakes.\nExample: mwctl config check schema.toml", &configCheck{})
	add(group, "apply", "Make a schema file the configuration in force",
		"Compares the file with the configuration in force and applies the difference as one change.\n"+
			"Exit codes: 0 in force, 3 mistakes, 4 conflict, 5 log down and nothing written, 6 outcome unknown.\n"+
			"Example: mwctl config apply schema.toml --admin http://10.0.0.1:9000 --key-file operator.key", &configApply{})
}

// add registers a command under a parent; a failure is a defect of the program.
func add(parent *flags.Command, name, short, long string, command any) *flags.Command {
	c, err := parent.AddCommand(name, short, long, command)
	if err != nil {
		panic(err)
	}
	return c
}
