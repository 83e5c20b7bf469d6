package harness

import (
	"os/exec"
	"runtime"
	"sync"
)

// startFuncs are run one after another on a single thread that lives as long as the
// process: the kernel sends the parent-death signal to a child when the thread that
// started the child ends.
var (
	startFuncs      = make(chan func())
	startThreadOnce sync.Once
)

// startOnDedicatedThread starts cmd on the thread that runs startFuncs.
func startOnDedicatedThread(cmd *exec.Cmd) error {
	startThreadOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range startFuncs {
				f()
			}
		}()
	})
	done := make(chan error, 1)
	startFuncs <- func() { done <- cmd.Start() }
	return <-done
}
