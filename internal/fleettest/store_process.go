package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
)

// Store is the fake store of a fleet.
type Store struct {
	*Process
	address string
	control string
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(ctx context.Context, faults fakestore.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "store faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.control+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "store faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "store faults")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return errors.Errorf("store faults: status %d: %s", response.StatusCode, text)
	}
	return nil
}

// Faults returns the active faults. Faults with a count, such as lost responses, have the remaining count.
func (s *Store) Faults(ctx context.Context) (fakestore.Faults, error) {
	var faults fakestore.Faults
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.control+"/faults", nil)
	if err != nil {
		return faults, errors.Wrap(err, "store faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return faults, errors.Wrap(err, "store faults")
	}
	defer response.Body.Close()
	return faults, errors.Wrap(json.NewDecoder(response.Body).Decode(&faults), "store faults")
}

// Calls returns the number of calls of the kind that the store has received. Package store defines the kinds.
func (s *Store) Calls(ctx context.Context, kind string) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.control+"/counts", nil)
	if err != nil {
		return 0, errors.Wrap(err, "store calls")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "store calls")
	}
	defer response.Body.Close()
	var counts map[string]uint64
	err = json.NewDecoder(response.Body).Decode(&counts)
	return counts[kind], errors.Wrap(err, "store calls")
}
