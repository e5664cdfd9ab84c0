package metrics

import "time"

// Summary describes the latencies of a service in the current and the previous window.
type Summary struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}
