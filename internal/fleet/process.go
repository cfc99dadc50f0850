package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is an operating system process of a fleet.
type Process struct {
	// Name is the name of the process and, with the suffix .log, of its log file.
	Name string

	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// Start starts cmd and appends its output to the log file of name in dir. The
// caller must end the process.
func Start(dir, name string, cmd *exec.Cmd) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	p.cmd.Stdout = output
	p.cmd.Stderr = output
	if err := p.cmd.Start(); err != nil {
		_ = output.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		// A process that is ended by a signal writes nothing itself.
		_, _ = fmt.Fprintf(output, "process %d has ended: %s\n", p.PID(), p.cmd.ProcessState)
		_ = output.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful shutdown; Wait waits for its end.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, on which the process reloads its settings.
func (p *Process) Hangup() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// Wait waits until the process has ended and returns the error of its exit status.
// It fails if ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Errorf("process %s has not ended", p.Name)
	}
}

// Log returns the output of the process so far.
func (p *Process) Log() (string, error) {
	data, err := os.ReadFile(p.log)
	return string(data), errors.Wrap(err, "read log")
}

// pollInterval is the time between two evaluations of a condition in Eventually.
const pollInterval = 10 * time.Millisecond

// Eventually polls condition until it returns nil or ctx ends, and returns the last
// result.
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
