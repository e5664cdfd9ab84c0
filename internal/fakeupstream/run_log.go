package fakeupstream

import (
	"encoding/json"
	"os"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// runLogMode makes the file readable and writable only for the user who runs the test.
const runLogMode = 0o600

// runLog records runs in memory and, if it has a file, appends each as one line of JSON.
type runLog struct {
	mu   sync.Mutex
	runs []Run
	file *os.File
}

func openRunLog(path string) (*runLog, error) {
	if path == "" {
		return &runLog{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, runLogMode)
	if err != nil {
		return nil, errors.Wrap(err, "run log")
	}
	return &runLog{file: file}, nil
}

// record adds the run and returns it with its serial. The line is written to the kernel before record returns, so that
// a crash of the process does not lose it.
func (l *runLog) record(run Run) (Run, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Serial = len(l.runs) + 1
	l.runs = append(l.runs, run)
	if l.file == nil {
		return run, nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return run, errors.Wrap(err, "run log")
	}
	_, err = l.file.Write(append(line, '\n'))
	return run, errors.Wrap(err, "run log")
}

func (l *runLog) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *runLog) close() error {
	if l.file == nil {
		return nil
	}
	return errors.Wrap(l.file.Close(), "run log")
}
