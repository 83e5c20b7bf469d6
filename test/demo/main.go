// Command demo runs the example deployments as separate processes, sends traffic while
// agents fail, and compares every answer with what the servers executed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/magnoliawheel/magnoliawheel/test/harness"
)

const (
	// demoTimeout limits the time of the demo without the build.
	demoTimeout = 45 * time.Second
	// buildTimeout limits the build, which is slow on a machine without a build cache.
	buildTimeout = 10 * time.Minute
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "magnoliawheel-demo-")
	if err != nil {
		return err
	}
	fmt.Println("building")
	buildCtx, cancelBuild := context.WithTimeout(ctx, buildTimeout)
	defer cancelBuild()
	bin, err := harness.Build(buildCtx, dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	ledger, err := runAll(ctx, bin, dir)
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	fmt.Println(ledger)
	if err := ledger.Err(); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	return os.RemoveAll(dir)
}

// runAll runs all deployments concurrently and adds up their ledgers.
func runAll(ctx context.Context, bin harness.Binaries, dir string) (harness.Ledger, error) {
	type outcome struct {
		ledger harness.Ledger
		err    error
	}
	results := make(chan outcome, len(deployments))
	for _, d := range deployments {
		go func() {
			ledger, err := d.run(ctx, bin, filepath.Join(dir, d.name))
			results <- outcome{ledger, err}
		}()
	}
	var total harness.Ledger
	var firstErr error
	for range deployments {
		r := <-results
		total.Add(r.ledger)
		if firstErr == nil {
			firstErr = r.err
		}
	}
	return total, firstErr
}
