package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one process of the real programs.
type Process struct {
	// Name is the process's name, also that of its log file.
	Name string

	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// Start runs a command with its output in a log file of the directory. The
// caller ends the process.
func Start(dir, name string, cmd *exec.Cmd) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = output.Close() }()
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	p.cmd.Stdout = output
	p.cmd.Stderr = output
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully; Wait tells the end.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Hangup tells the process that its settings may have changed.
func (p *Process) Hangup() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Errorf("%s has not ended", p.Name)
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() (string, error) {
	data, err := os.ReadFile(p.log)
	return string(data), errors.Wrap(err, "read log")
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// Eventually polls condition until it returns nil or ctx ends, and returns
// its last error.
func Eventually(ctx context.Context, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
