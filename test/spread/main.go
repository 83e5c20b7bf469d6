// Command spread measures the distribution of configuration changes to many processes:
// the delay until a change is in force, and the traffic, processor time and memory that
// the distribution costs. It starts itself as N processes on this machine, with stand-ins
// for the platform. It is a test tool and is not shipped.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
)

func main() {
	node := flag.String("node", "", "run as the measured process with this ID (internal)")
	logURL := flag.String("log", "", "base URL of the configuration log (internal)")
	listURL := flag.String("list", "", "base URL of the instance list (internal)")
	sizes := flag.String("sizes", "10,50,150", "numbers of processes to measure, separated by commas")
	rows := flag.Int("rows", 3060, "rows of the instance list in an additional measurement with the first number of processes; 0 for none")
	out := flag.String("out", "", "prefix of the CSV and text files; standard output if empty")
	command := flag.String("command", "go run ./test/spread", "command shown in the output")
	commit := flag.String("commit", "", "commit shown in the output")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if *node != "" {
		err = runChild(ctx, *node, *logURL, *listURL)
	} else {
		err = measureAll(ctx, *sizes, *rows, report{pathPrefix: *out, command: *command, commit: *commit})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureAll runs one measurement for each number of processes in sizes. If rows is not 0,
// it repeats the first with a list of at least that many rows. It writes the report.
func measureAll(ctx context.Context, sizes string, rows int, output report) error {
	type runSize struct{ n, rows int }
	var runs []runSize
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		runs = append(runs, runSize{n: n})
	}
	if rows > 0 {
		runs = append(runs, runSize{n: runs[0].n, rows: rows})
	}
	for _, s := range runs {
		m, err := measureProcesses(ctx, s.n, s.rows)
		if err != nil {
			return fmt.Errorf("%d processes: %w", s.n, err)
		}
		fmt.Fprintf(os.Stderr, "%+v\n", *m)
		output.measurements = append(output.measurements, *m)
	}
	return output.write()
}
