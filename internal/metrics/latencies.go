package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxLatencyServices bounds the memory of the histograms to about 40 MB. Further services share one histogram.
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
	l.of(service).record(d)
}

func (l *latencies) of(service model.ServiceName) *latency {
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

// all returns the present pairs by service.
func (l *latencies) all() map[model.ServiceName]*latency {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make(map[model.ServiceName]*latency, len(l.byService))
	for service, one := range l.byService {
		all[service] = one
	}
	return all
}

func (l *latencies) rotate() {
	for _, one := range l.all() {
		one.rotate()
	}
}

func (l *latencies) summary(service model.ServiceName) Summary {
	if one, ok := l.all()[service]; ok {
		return one.summary()
	}
	return Summary{}
}

// String implements expvar.Var with the summaries by service.
func (l *latencies) String() string {
	summaries := make(map[model.ServiceName]Summary)
	for service, one := range l.all() {
		summaries[service] = one.summary()
	}
	data, err := json.Marshal(summaries)
	if err != nil {
		return "{}"
	}
	return string(data)
}
