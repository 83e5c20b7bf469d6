package harness

import (
	"context"
	"fmt"
	"os"
	"testing"
)

// Main builds the programs into a temporary directory, stores their paths in binaries,
// runs the tests and returns the exit code for TestMain.
func Main(m *testing.M, binaries *Binaries) int {
	dir, err := os.MkdirTemp("", "magnoliawheel-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *binaries, err = Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
