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

// Ports are the node's connections to the world that differ from one interface to another.
type Ports struct {
	Store     store.Store
	Callers   dialect.Caller
	Upstreams dialect.Upstream
	// Announcements returns the handler by which upstreams announce themselves. announced returns an error for an
	// announcement that the node does not take; left takes in that an upstream leaves, with the time of its start in
	// milliseconds since 1970, 0 if that is not told.
	Announcements func(announced func(upstream.Announcement) error, left func(target model.TargetID, born int64)) http.Handler
}

// OwnPorts returns the ports of the project's own interface.
func OwnPorts(s *settings.Settings, m *metrics.Metrics) Ports {
	return Ports{
		Store:     store.Dial(s.Store.Address.String(), func(kind string) { m.StoreCall(metrics.StoreCall(kind)) }),
		Callers:   dialect.OwnCaller(),
		Upstreams: dialect.OwnUpstream(),
		Announcements: func(announced func(upstream.Announcement) error, _ func(model.TargetID, int64)) http.Handler {
			return upstream.AnnounceHandler(announced)
		},
	}
}
