package fakeupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// controlTimeout limits one call to a control listener.
const controlTimeout = 5 * time.Second

// ControlClient is a client of the control listener of an upstream in another process.
type ControlClient struct {
	address string
	client  *http.Client
}

// NewControlClient returns a client for the control listener at host:port.
func NewControlClient(address string) *ControlClient {
	return &ControlClient{address: address, client: &http.Client{Timeout: controlTimeout}}
}

// Status returns the upstream's phase and request counts.
func (c *ControlClient) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Runs returns the runs since the start of the process.
func (c *ControlClient) Runs(ctx context.Context) ([]Run, error) {
	var runs []Run
	err := c.call(ctx, http.MethodGet, "/runs", nil, &runs)
	return runs, err
}

// SetFaults replaces the injected faults.
func (c *ControlClient) SetFaults(ctx context.Context, faults Faults) error {
	return c.call(ctx, http.MethodPut, "/faults", faults, &Faults{})
}

// DrainAndHold makes the upstream announce the phase draining and keep running.
func (c *ControlClient) DrainAndHold(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain?hold=1", nil, &Status{})
}

func (c *ControlClient) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "control call")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "control call")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "control call")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("control call %s: status %d", path, response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "control call")
}
