// Command spread measures how changes of the configuration reach many processes:
// time to in-force, bytes, processor time and memory for control. It starts
// itself as N processes on this machine with stand-ins for the platform. It is a
// test tool and is not shipped.
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
	node := flag.String("node", "", "run as the node of that id (internal)")
	logURL := flag.String("log", "", "base URL of the log (internal)")
	listURL := flag.String("list", "", "base URL of the list (internal)")
	sizes := flag.String("sizes", "10,50,150", "numbers of processes")
	rows := flag.Int("rows", 3060, "rows of the list in one more measurement with the first number of processes; 0 for none")
	out := flag.String("out", "", "prefix of the CSV and text files; standard output if empty")
	command := flag.String("command", "go run ./test/spread", "command named in the output")
	commit := flag.String("commit", "", "commit named in the output")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if *node != "" {
		err = runNode(ctx, *node, *logURL, *listURL)
	} else {
		err = measureAll(ctx, *sizes, *rows, report{prefix: *out, command: *command, commit: *commit})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measureAll(ctx context.Context, sizes string, rows int, rep report) error {
	type size struct{ n, rows int }
	var todo []size
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		todo = append(todo, size{n: n})
	}
	if rows > 0 {
		todo = append(todo, size{n: todo[0].n, rows: rows})
	}
	for _, s := range todo {
		m, err := measure(ctx, s.n, s.rows)
		if err != nil {
			return fmt.Errorf("%d processes: %w", s.n, err)
		}
		fmt.Fprintf(os.Stderr, "%+v\n", *m)
		rep.list = append(rep.list, *m)
	}
	return rep.write()
}
