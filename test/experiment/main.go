// Command experiment compares the scheduling policies with their baselines, under load and
// with faults. It runs real processes with stand-ins for the servers and the platform, and
// writes the results as CSV, text and plots.
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
	// quickTimeout and fullTimeout limit the duration of a run, without the build.
	quickTimeout = 2 * time.Minute
	fullTimeout  = 15 * time.Minute
	buildTimeout = 10 * time.Minute
)

// options are the command-line flags.
type options struct {
	quick          bool
	scenarioFilter string
	outputDir      string
	keepFiles      bool
}

func main() {
	var o options
	flag.BoolVar(&o.quick, "quick", false, "run one seed with short loads and only the most important policies")
	flag.StringVar(&o.scenarioFilter, "only", "", "run only the scenarios whose name contains one of these texts, separated by commas")
	flag.StringVar(&o.outputDir, "out", "docs/measurements", "directory for the result files")
	flag.BoolVar(&o.keepFiles, "keep", false, "keep the settings, logs and execution records of the processes")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run builds the binaries, runs the scenarios and writes the results, also those of a run
// that failed or timed out. It keeps the working directory after an error.
func run(ctx context.Context, o options) error {
	workDir, err := os.MkdirTemp("", "magnoliawheel-experiment-")
	if err != nil {
		return err
	}
	fmt.Println("building")
	buildCtx, cancelBuild := context.WithTimeout(ctx, buildTimeout)
	defer cancelBuild()
	binaries, err := harness.Build(buildCtx, workDir)
	if err != nil {
		return err
	}
	timeout := fullTimeout
	if o.quick {
		timeout = quickTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := runScenarios(ctx, o, binaries, workDir)
	if len(rows) > 0 {
		if writeErr := writeResults(o, rows); writeErr != nil {
			return writeErr
		}
	}
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, workDir)
	}
	if o.keepFiles {
		fmt.Println("kept", workDir)
		return nil
	}
	return os.RemoveAll(workDir)
}

// runScenarios runs every selected scenario with each of its policies for every seed. The
// policies of a scenario run one after the other; each seed starts with a different one.
func runScenarios(ctx context.Context, o options, binaries harness.Binaries, workDir string) ([]resultRow, error) {
	selected := selectScenarios(o)
	bed, err := startTestbed(ctx, binaries, workDir, policiesIn(selected))
	if err != nil {
		return nil, err
	}
	defer bed.stop()
	var rows []resultRow
	for seed := uint64(1); seed <= seedCount(o); seed++ {
		for _, s := range selected {
			for _, p := range rotate(s.policies, int(seed)-1) {
				r, err := bed.run(ctx, s, p, seed, o.quick)
				if err != nil {
					return rows, fmt.Errorf("%s, %s, seed %d: %w", s.name, p, seed, err)
				}
				fmt.Println(r.summary())
				rows = append(rows, r)
			}
		}
	}
	return rows, nil
}

// seedCount returns the number of seeds; the seeds are 1 to this number.
func seedCount(o options) uint64 {
	if o.quick {
		return 1
	}
	return 3
}

// rotate returns the list starting at another element, so that no policy is always first.
func rotate(policyNames []string, offset int) []string {
	offset %= len(policyNames)
	return append(append([]string(nil), policyNames[offset:]...), policyNames[:offset]...)
}
