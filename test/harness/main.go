package harness

import (
	"context"
	"fmt"
	"os"
	"testing"
)

// Main builds the programs into a directory of their own, runs the tests and returns
// the exit code for TestMain.
func Main(m *testing.M, built *Binaries) int {
	dir, err := os.MkdirTemp("", "magnoliawheel-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *built, err = Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
