package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

// starts are run one after the other on one thread that lives as long as the
// program, since the parent-death signal follows the thread that started a child.
var (
	starts     = make(chan func())
	startsOnce sync.Once
)

func startOnOneThread(cmd *exec.Cmd) error {
	startsOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range starts {
				f()
			}
		}()
	})
	done := make(chan error, 1)
	starts <- func() { done <- cmd.Start() }
	return <-done
}
