package node

import (
	"net/http"

	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// Ports are the adapters to the store, callers and upstreams. They differ between the project's own interface and that of
// a platform.
type Ports struct {
	Store     store.Store
	Callers   dialect.Caller
	Upstreams dialect.Upstream
	// Announcements returns the HTTP handler for the announcements of upstreams. The handler calls announced for each
	// announcement, which returns an error if the node refuses it, and deregistered when an upstream leaves, with the
	// upstream's start time in Unix milliseconds, or 0 if that is unknown. If deregistered returns an error, the handler does not
	// acknowledge the call: the upstream has to repeat it.
	Announcements func(announced func(upstream.Announcement) error, deregistered func(target model.TargetID, startTime int64) error) http.Handler
}

// OwnPorts returns the ports for the project's own interface, as opposed to that of a platform.
func OwnPorts(s *settings.Settings, m *metrics.Metrics) Ports {
	return Ports{
		Store:     store.Dial(s.Store.Address.String(), func(kind string) { m.StoreCall(metrics.StoreCall(kind)) }),
		Callers:   dialect.OwnCaller(),
		Upstreams: dialect.OwnUpstream(),
		Announcements: func(announced func(upstream.Announcement) error, _ func(model.TargetID, int64) error) http.Handler {
			return upstream.AnnounceHandler(announced)
		},
	}
}
