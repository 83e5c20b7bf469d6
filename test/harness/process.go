// Package harness runs deployments of real processes on loopback for tests. It builds
// the binaries, starts, freezes and kills processes, and compares the answers that
// callers got with the executions that the stand-ins recorded.
package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Binaries holds the paths of the programs that Build has built.
type Binaries struct {
	Magnoliawheel string
	Mwctl         string
	Standin       string
}

// Build compiles the programs that a deployment consists of into dir.
func Build(ctx context.Context, dir string) (Binaries, error) {
	root, err := WorkspaceRoot()
	if err != nil {
		return Binaries{}, err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/magnoliawheel", "./cmd/mwctl", "./test/standin/cmd/standin")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return Binaries{
		Magnoliawheel: filepath.Join(dir, "magnoliawheel"),
		Mwctl:         filepath.Join(dir, "mwctl"),
		Standin:       filepath.Join(dir, "standin"),
	}, nil
}

// WorkspaceRoot returns the directory with the go.work file, searched for from the
// working directory upwards.
func WorkspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no go.work in the working directory or above it")
		}
		dir = parent
	}
}

// Process is a child process whose output goes to a log file.
type Process struct {
	Name    string
	LogFile string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// StartProcess starts a program. Its standard error is appended to dir/<name>.log, and
// so is its standard output unless stdout is not nil.
func StartProcess(dir, name string, stdout *os.File, path string, args ...string) (*Process, error) {
	return StartProcessWithEnv(nil, dir, name, stdout, path, args...)
}

// StartProcessWithEnv is like StartProcess, with variables of the form NAME=VALUE added
// to the environment.
func StartProcessWithEnv(env []string, dir, name string, stdout *os.File, path string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p := &Process{Name: name, LogFile: logFile, cmd: exec.Command(path, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	// The kernel kills the child when the thread that started it ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnDedicatedThread(p.cmd); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, on which the process drains and exits.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Reload sends SIGHUP, on which the process reloads its settings.
func (p *Process) Reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode waits until the process has exited and returns its exit code, -1 if a signal
// ended it.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}
