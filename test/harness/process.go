// Package harness runs a deployment of real processes on loopback for tests: it
// builds the binaries, starts, freezes and kills processes, and compares callers'
// answers with the stand-ins' record of executions.
package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Binaries are the paths of the programs that were built.
type Binaries struct {
	Magnoliawheel string
	Mwctl         string
	Standin       string
}

// Build builds all programs into dir.
func Build(ctx context.Context, dir string) (Binaries, error) {
	root, err := Root()
	if err != nil {
		return Binaries{}, err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/magnoliawheel", "./cmd/mwctl", "./test/standin/cmd/standin")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build: %w\n%s", err, out)
	}
	return Binaries{
		Magnoliawheel: filepath.Join(dir, "magnoliawheel"),
		Mwctl:         filepath.Join(dir, "mwctl"),
		Standin:       filepath.Join(dir, "standin"),
	}, nil
}

// Root returns the directory of the workspace.
func Root() (string, error) {
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
			return "", fmt.Errorf("no go.work above the working directory")
		}
		dir = parent
	}
}

// Process is a process that the harness started.
type Process struct {
	Name    string
	LogFile string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// StartProcess starts a program with its output appended to dir/<name>.log. Stdout
// goes to the same file unless stdout is given.
func StartProcess(dir, name string, stdout *os.File, path string, args ...string) (*Process, error) {
	return StartProcessWith(nil, dir, name, stdout, path, args...)
}

// StartProcessWith is StartProcess with variables, NAME=VALUE, added to the environment.
func StartProcessWith(env []string, dir, name string, stdout *os.File, path string, args ...string) (*Process, error) {
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
	// The kernel kills the process when its starter dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneThread(p.cmd); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill ends the process without warning and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze stops the process with SIGSTOP.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to drain.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Reload sends SIGHUP.
func (p *Process) Reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// Exited is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has ended, -1 after a signal.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}
