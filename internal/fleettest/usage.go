package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is user and system time since the start of the process.
	CPUTime time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
}

const (
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// utimeField and stimeField are the indexes of user and system time in /proc/PID/stat, after the program name.
	utimeField = 11
	stimeField = 12
)

// Usage returns the resource usage of the daemon so far.
func (n *Node) Usage() (Usage, error) {
	cpu, err := cpuTime(n.cmd.Process.Pid)
	if err != nil {
		return Usage{}, err
	}
	resident, err := residentBytes(n.cmd.Process.Pid)
	return Usage{CPUTime: cpu, ResidentBytes: resident}, err
}

func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "usage")
	}
	// The name is in parentheses and may contain blanks.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) <= stimeField {
		return 0, errors.Errorf("usage: process %d: %d fields", pid, len(fields))
	}
	var total time.Duration
	for _, field := range []string{fields[utimeField], fields[stimeField]} {
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
