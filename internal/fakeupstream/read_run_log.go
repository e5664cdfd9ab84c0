package fakeupstream

import (
	"bufio"
	"encoding/json"
	"io/fs"
	"os"

	"github.com/pkg/errors"
)

// ReadRunLog returns the runs that all processes with this run log recorded, including crashed ones. It returns no runs
// if the file does not exist.
func ReadRunLog(path string) ([]Run, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "run log")
	}
	defer file.Close()
	var runs []Run
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var run Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, errors.Wrapf(err, "run log %s", path)
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrap(lines.Err(), "run log")
}
