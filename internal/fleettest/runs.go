package fleettest

import "github.com/sardinereach/sardinereach/internal/fakeupstream"

// Runs returns all recorded runs by operation, including those at upstreams that have exited.
func (f *Fleet) Runs() (map[string][]fakeupstream.Run, error) {
	runs := map[string][]fakeupstream.Run{}
	for _, upstream := range f.Upstreams {
		logged, err := upstream.LoggedRuns()
		if err != nil {
			return nil, err
		}
		for _, run := range logged {
			runs[run.Operation] = append(runs[run.Operation], run)
		}
	}
	return runs, nil
}

// Duplicates returns the operations that ran more than once.
func (f *Fleet) Duplicates() ([]string, error) {
	runs, err := f.Runs()
	if err != nil {
		return nil, err
	}
	var duplicates []string
	for operation, list := range runs {
		if len(list) > 1 {
			duplicates = append(duplicates, operation)
		}
	}
	return duplicates, nil
}
