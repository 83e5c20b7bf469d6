package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/magnoliawheel/magnoliawheel/internal/cli"
)

// configCommand is the parent of the configuration commands.
type configCommand struct{}

// addConfig registers the configuration commands.
func addConfig(parser *flags.Parser) {
	group := cli.AddCommand(parser.Command, "config", "Check, apply and look at the configuration",
		"Example: mwctl config check schema.toml", &configCommand{})
	cli.AddCommand(group, "check", "List all mistakes of a schema file",
		"Reads a schema file and lists all its mistakes with line and key. Needs no connection.\n"+
			"Exit codes: 0 valid, 3 mistakes.\nExample: mwctl config check schema.toml", &configCheck{})
	cli.AddCommand(group, "apply", "Make a schema file the configuration in force",
		"Compares the file with the configuration in force and applies the difference as one change. If the outcome is "+
			"unknown, apply again with the id that was printed: the change takes effect once.\n"+changeExitCodes+
			"Example: mwctl config apply schema.toml --admin http://10.0.0.1:9000 --key-file operator.key", &configApply{})
	cli.AddCommand(group, "status", "Tell what became of a change",
		"Looks for the id of a change in the log.\n"+changeExitCodes+
			"Example: mwctl config status 01890a5d-ac96-774b-bcce-b302099a8057", &configStatus{})
	cli.AddCommand(group, "withdraw", "Make a change void whose outcome is unknown",
		"A change that took effect already stays in force.\n"+
			"Exit codes: 0 void for good, or in force (which is printed), 4 conflict and void, 5 log down, 6 outcome unknown.\n"+
			"Example: mwctl config withdraw 01890a5d-ac96-774b-bcce-b302099a8057 --after 21", &configWithdraw{})
	cli.AddCommand(group, "get", "Print the configuration or one object of it",
		"Prints the configuration as a schema file, or one object as JSON with its version.\n"+
			"Exit codes: 0 printed, 1 failed, 5 log down (only with --at).\n"+
			"Example: mwctl config get pool/engines --at 17", &configGet{})
	cli.AddCommand(group, "diff", "Print what a file would change, or what changed between two offsets",
		"Exit codes: 0 printed, 1 failed, 3 mistakes, 5 log down (only with --from or --to).\n"+
			"Example: mwctl config diff schema.toml\nExample: mwctl config diff --from 17 --to 21", &configDiff{})
	cli.AddCommand(group, "history", "List the newest changes and what became of them",
		"Exit codes: 0 printed, 1 failed.\nExample: mwctl config history customer/petra-build", &configHistory{})
	cli.AddCommand(group, "rollback", "Write new versions with the content of an older offset",
		"Restores all objects, or only those named, as one change on the versions in force.\n"+changeExitCodes+
			"Example: mwctl config rollback 17 pool/engines", &configRollback{})
	cli.AddCommand(group, "wait", "Wait until a version is in force on each listed instance",
		"Names each instance, its version in force, and those that can't be reached.\n"+
			"Exit codes: 0 in force everywhere, 1 failed, 7 not in force everywhere in time.\n"+
			"Example: mwctl config wait --offset 21 --timeout 10s", &configWait{})
}

// changeExitCodes is the help text on the exit codes of commands that make a change.
const changeExitCodes = "Exit codes: 0 in force, 1 failed, 3 mistakes, 4 conflict, 5 log down and nothing written, 6 outcome unknown.\n"
