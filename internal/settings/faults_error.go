package settings

import (
	"sort"
	"strings"
)

// FaultsError contains every fault of a settings file, in the order of their lines.
type FaultsError struct {
	Faults []Fault
}

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func newFaultsError(faults []Fault) *FaultsError {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return &FaultsError{Faults: faults}
}
