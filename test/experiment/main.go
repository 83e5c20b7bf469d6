// Command experiment compares the policies with their baselines under load and
// faults, on real processes with stand-ins for servers and platform, and writes
// the figures as CSV, text and plots.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// quickLimit and wholeLimit bound the experiment, without the build.
	quickLimit = 2 * time.Minute
	wholeLimit = 15 * time.Minute
	buildLimit = 10 * time.Minute
)

type options struct {
	quick bool
	only  string
	out   string
	keep  bool
}

func main() {
	var o options
	flag.BoolVar(&o.quick, "quick", false, "one seed, short loads and the deciding policies only")
	flag.StringVar(&o.only, "only", "", "run only the cells whose name contains one of these texts, separated by commas")
	flag.StringVar(&o.out, "out", "docs/measurements", "directory that gets the figures")
	flag.BoolVar(&o.keep, "keep", false, "keep settings, logs and records of the processes")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "magnoliawheel-experiment-")
	if err != nil {
		return err
	}
	fmt.Println("building")
	buildCtx, cancelBuild := context.WithTimeout(ctx, buildLimit)
	defer cancelBuild()
	bin, err := harness.Build(buildCtx, dir)
	if err != nil {
		return err
	}
	limit := wholeLimit
	if o.quick {
		limit = quickLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rows, err := runAll(ctx, o, bin, dir)
	if len(rows) > 0 {
		if werr := writeAll(o, rows); werr != nil {
			return werr
		}
	}
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if o.keep {
		fmt.Println("kept", dir)
		return nil
	}
	return os.RemoveAll(dir)
}

// runAll runs every cell with every policy for every seed, policies interleaved.
func runAll(ctx context.Context, o options, bin harness.Binaries, dir string) ([]row, error) {
	cells := chooseCells(o)
	b, err := startBench(ctx, bin, dir, neededAgents(cells))
	if err != nil {
		return nil, err
	}
	defer b.stop()
	var rows []row
	for seed := uint64(1); seed <= seeds(o); seed++ {
		for _, c := range cells {
			for _, p := range rotate(c.policies, int(seed)-1) {
				r, err := b.run(ctx, c, p, seed, o.quick)
				if err != nil {
					return rows, fmt.Errorf("%s, %s, seed %d: %w", c.name, p, seed, err)
				}
				fmt.Println(r.line())
				rows = append(rows, r)
			}
		}
	}
	return rows, nil
}

func seeds(o options) uint64 {
	if o.quick {
		return 1
	}
	return 3
}

// rotate starts the list at another place, so that no policy is always first.
func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string(nil), list[by:]...), list[:by]...)
}
