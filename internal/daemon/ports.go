// Package daemon is what the programs that run a node have in common.
package daemon

import (
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/platform"
)

// ports returns the protocols that the settings select.
func ports(s *settings.Settings, m *metrics.Metrics, log *events.Log) node.Ports {
	if s.Node.Interface == settings.InterfaceOwn {
		return node.OwnPorts(s, m)
	}
	count := func(kind string) { m.StoreCall(metrics.StoreCall(kind)) }
	rejected := func(err error) { log.Emit(events.ConfigInvalid, events.CauseField(err)) }
	return node.Ports{
		Store:         platform.NewStore(s.Store.Address.String(), count, rejected),
		Callers:       platform.CallerDialect(),
		Upstreams:     platform.UpstreamDialect(),
		Announcements: platform.HeartbeatHandler,
	}
}
