package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxLatencyServices bounds the memory of the histograms to about 40 MB. Further services share one histogram pair.
const maxLatencyServices = 1024

// otherServices is the name under which the services above maxLatencyServices are published.
const otherServices model.ServiceName = "(other)"

// latencies holds a histogram pair for each service with requests.
type latencies struct {
	mu        sync.RWMutex
	byService map[model.ServiceName]*latency
}

func newLatencies() *latencies {
	return &latencies{byService: make(map[model.ServiceName]*latency)}
}

func (l *latencies) record(service model.ServiceName, d time.Duration) {
	l.forService(service).record(d)
}

func (l *latencies) forService(service model.ServiceName) *latency {
	l.mu.RLock()
	found, ok := l.byService[service]
	l.mu.RUnlock()
	if ok {
		return found
	}
	return l.create(service)
}

func (l *latencies) create(service model.ServiceName) *latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byService) >= maxLatencyServices {
		service = otherServices
	}
	if found, ok := l.byService[service]; ok {
		return found
	}
	created := newLatency()
	l.byService[service] = created
	return created
}

// all returns a copy of byService.
func (l *latencies) all() map[model.ServiceName]*latency {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make(map[model.ServiceName]*latency, len(l.byService))
	for service, pair := range l.byService {
		all[service] = pair
	}
	return all
}

func (l *latencies) rotate() {
	for _, pair := range l.all() {
		pair.rotate()
	}
}

func (l *latencies) summary(service model.ServiceName) Summary {
	if pair, ok := l.all()[service]; ok {
		return pair.summary()
	}
	return Summary{}
}

// String implements expvar.Var: it returns the summaries by service as JSON.
func (l *latencies) String() string {
	summaries := make(map[model.ServiceName]Summary)
	for service, pair := range l.all() {
		summaries[service] = pair.summary()
	}
	data, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(data)
}
