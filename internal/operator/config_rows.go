package operator

import (
	"cmp"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

func (s *Server) serviceRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	capacities := capacitiesOf(snapshot)
	for i := range snapshot.Services {
		status := &snapshot.Services[i]
		service := &status.Service
		capacity := capacities[service.Name]
		rows = append(rows, []string{
			string(service.Name), number(status.Revision), number(service.FloorSlots), number(capacity.slots),
			number(s.fleet.DrainImpact(service, "").Usable), number(capacity.targets), number(len(service.Routes)),
			orElse(service.Policy.Preset, declaration.PresetHuon), joinNames(service.Prefer), joinNames(service.Draining),
		})
	}
	return rows
}

func routeRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for i := range snapshot.Services {
		service := &snapshot.Services[i].Service
		for j := range service.Routes {
			rows = append(rows, routeRow(service.Name, &service.Routes[j]))
		}
	}
	return rows
}

func routeRow(service model.ServiceName, route *declaration.Route) []string {
	return []string{
		string(service), route.Host, joinNames(route.Methods), route.Path, classText(route),
		number(cmp.Or(route.TimeoutMS, declaration.DefaultTimeoutMS)), orElse(route.Priority, declaration.Interactive),
		number(cmp.Or(route.FirstByteMS, declaration.DefaultFirstByteMS)), joinNumbers(route.RetryStatuses),
		joinNumbers(route.FailStatuses), requirement(route),
	}
}

// requirement returns what the route requires of its callers, empty for a route that is open to every caller.
func requirement(route *declaration.Route) string {
	if route.RequiresKey {
		return "key"
	}
	return ""
}

// classText returns the class of the route as it is shown to operators.
func classText(route *declaration.Route) string {
	if route.Unsupported != "" {
		return "unsupported"
	}
	return orElse(route.Class, "by method")
}

func revisionRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		behind := len(nodesBehind(snapshot, service.Revision))
		active := len(snapshot.Nodes) - behind
		rows = append(rows, []string{string(service.Service.Name), number(service.Revision), number(active), number(behind)})
	}
	return rows
}

// nodesBehind returns the nodes whose last received record has an older configuration revision.
func nodesBehind(snapshot *Snapshot, revision int64) []string {
	var behind []string
	for _, node := range snapshot.Nodes {
		if node.Record.ConfigRevision < revision {
			behind = append(behind, string(node.Record.ID))
		}
	}
	return behind
}
