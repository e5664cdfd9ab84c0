package fleettest

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Metrics are the counters of a daemon that tests and examples read.
type Metrics struct {
	Refusals   map[string]int64 `json:"refusals"`
	Failures   map[string]int64 `json:"failures"`
	Retries    map[string]int64 `json:"retries"`
	LinkBytes  map[string]int64 `json:"link_bytes"`
	StoreCalls map[string]int64 `json:"store_calls"`
	Revision   int64            `json:"config_revision"`
	InFlight   int64            `json:"requests_in_flight"`
}

// metricsPath is the expvar endpoint on the operators' listener.
const metricsPath = "/debug/vars"

// Metrics returns the daemon's counters.
func (n *Node) Metrics(ctx context.Context) (*Metrics, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Operators+metricsPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("metrics: status %d", response.StatusCode)
	}
	var published map[string]json.RawMessage
	if err := json.NewDecoder(response.Body).Decode(&published); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	return findMetrics(published)
}

// findMetrics returns the published variable that contains the daemon's counters.
func findMetrics(published map[string]json.RawMessage) (*Metrics, error) {
	for _, raw := range published {
		var m Metrics
		if json.Unmarshal(raw, &m) == nil && m.Retries != nil {
			return &m, nil
		}
	}
	return nil, errors.New("metrics: the daemon publishes no counters")
}
