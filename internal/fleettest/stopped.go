package fleettest

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// stopTimeout bounds the time until all threads of a process have stopped.
	stopTimeout = 10 * time.Second
	// stopPollInterval is the pause between two looks at the threads.
	stopPollInterval = time.Millisecond
	// stoppedState is the state of a stopped thread in its stat file.
	stoppedState = 'T'
)

// awaitStopped waits until all threads of the process are stopped. SIGSTOP reaches a thread that runs on another processor
// only after the signal was sent.
func (p *Process) awaitStopped() error {
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		stopped, err := allThreadsStopped(p.cmd.Process.Pid)
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		if stopped {
			return nil
		}
	}
	return errors.Errorf("%s: not all threads have stopped within %s", p.name, stopTimeout)
}

func allThreadsStopped(pid int) (bool, error) {
	files, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	if err != nil {
		return false, err
	}
	if len(files) == 0 {
		return false, errors.New("the process has exited")
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if os.IsNotExist(err) {
			// The thread has ended meanwhile.
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if threadState(stat) != stoppedState {
			return false, nil
		}
	}
	return true, nil
}

// threadState returns the state in a stat file. It follows the name of the program, which is in parentheses and may contain
// any character.
func threadState(stat []byte) byte {
	i := bytes.LastIndexByte(stat, ')')
	if i < 0 || i+2 >= len(stat) {
		return 0
	}
	return stat[i+2]
}
