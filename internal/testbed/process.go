package testbed

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// StopTimeout limits the wait for a graceful shutdown.
const StopTimeout = 30 * time.Second

// Process is one process of the system, which can be started again and again.
type Process struct {
	// Name identifies the process in messages.
	Name string
	// Program is the file of the program, Args and Env are the arguments and the
	// environment that it is started with.
	Program string
	Args    []string
	Env     []string
	// Log is the file to which its output is appended.
	Log string

	cmd  *exec.Cmd
	done chan error
}

// Start starts the process. It fails if the log or the program cannot be opened.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	cmd := exec.Command(p.Program, p.Args...)
	cmd.Env = p.Env
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "start %s", p.Name)
	}
	done := make(chan error, 1)
	p.cmd, p.done = cmd, done
	go func() { done <- cmd.Wait() }()
	return nil
}

// Started reports whether the process has been started.
func (p *Process) Started() bool { return p.cmd != nil }

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	// An error means that the process has ended.
	_ = p.cmd.Process.Signal(sig)
}

// Wait waits until the process has ended and returns its exit error.
func (p *Process) Wait() error {
	err := <-p.done
	p.done <- err
	return err
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait()
}

// Stop shuts the process down by SIGTERM and returns its exit error. It kills the
// process after StopTimeout.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(StopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %v of SIGTERM", p.Name, StopTimeout)
	}
}
