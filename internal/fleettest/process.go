package fleettest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a process started by this package. Signals go to its process id only, and are not sent after it has
// exited.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// startProcess starts a program. Its output goes to a file in dir. The kernel kills the process if its parent dies.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &Process{name: name, cmd: cmd, log: path, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
	}()
	return p, nil
}

// privateFileMode is the mode of the log files.
const privateFileMode = 0o600

// Name returns the name of the process in its fleet.
func (p *Process) Name() string { return p.name }

// Log returns the output of the process so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Pause stops the process with SIGSTOP. It returns when all threads of the process have stopped.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM to the process.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits until the process has exited and returns its exit status, -1 if it was terminated by a signal.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s has not exited", p.name)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "%s: %v", p.name, s)
}
