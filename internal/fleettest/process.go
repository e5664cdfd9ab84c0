package fleettest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Process is one process that the harness started. Signals go to its process id only, and to none after its end.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// startProcess starts a program. Its output goes to a file in dir. The kernel kills the process if the harness dies.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFile)
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

// privateFile is the mode of the harness's files.
const privateFile = 0o600

// Name returns the name of the process in its fleet.
func (p *Process) Name() string { return p.name }

// Log returns what the process wrote so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// Wait returns the exit status once the process has ended, -1 if a signal ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "%s has not ended", p.name)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "%s: %v", p.name, s)
}
