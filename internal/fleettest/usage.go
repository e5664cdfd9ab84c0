package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is what a process has taken from its machine.
type Usage struct {
	// Processor is user and system time since the start of the process.
	Processor time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

const (
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the positions of the processor times in /proc/PID/stat after the program's name.
	userField   = 11
	systemField = 12
)

// Usage returns what the daemon has used so far.
func (n *Node) Usage() (Usage, error) {
	processor, err := processorTime(n.cmd.Process.Pid)
	if err != nil {
		return Usage{}, err
	}
	resident, err := residentBytes(n.cmd.Process.Pid)
	return Usage{Processor: processor, Resident: resident}, err
}

func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "usage")
	}
	// The name is in parentheses and may contain blanks.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= systemField {
		return 0, errors.Errorf("usage: process %d: %d fields", pid, len(fields))
	}
	var total time.Duration
	for _, field := range []string{fields[userField], fields[systemField]} {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "usage")
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "usage")
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, errors.Wrap(err, "usage")
	}
	return resident * int64(os.Getpagesize()), nil
}
