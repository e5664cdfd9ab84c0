// Package daemon runs a node as a process: it connects the node to its protocols and to the signals of the process. The
// programs that run a node share it.
package daemon

import (
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/platform"
)

// ports returns the store and protocol implementations for the interface that the settings select.
func ports(s *settings.Settings, m *metrics.Metrics, log *events.Log) node.Ports {
	if s.Node.Interface == settings.InterfaceOwn {
		return node.OwnPorts(s, m)
	}
	observer := platform.Observer{
		Call:    func(kind string) { m.StoreCall(metrics.StoreCall(kind)) },
		Invalid: func(err error) { log.Emit(events.ConfigInvalid, events.CauseField(err)) },
		Restored: func(previous, era int64) {
			log.Emit(events.StoreRestored, events.EraField(era), events.PreviousEraField(previous))
		},
	}
	return node.Ports{
		Store:         platform.NewStore(s.Store.Address.String(), observer),
		Callers:       platform.CallerDialect(),
		Upstreams:     platform.UpstreamDialect(),
		Announcements: platform.HeartbeatHandler,
	}
}
