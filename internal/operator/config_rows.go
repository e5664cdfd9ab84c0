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
		facts := &snapshot.Services[i]
		service := &facts.Service
		capacity := capacities[service.Name]
		rows = append(rows, []string{
			string(service.Name), number(facts.Revision), number(service.FloorSlots), number(capacity.slots),
			number(s.fleet.DrainFigures(service, "").Usable), number(capacity.targets), number(len(service.Routes)),
			orElse(service.Policy.Preset, declaration.PresetHuon), list(service.Prefer), list(service.Draining),
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
		string(service), route.Host, list(route.Methods), route.Path, orElse(route.Class, "by method"),
		number(cmp.Or(route.TimeoutMS, declaration.DefaultTimeoutMS)), orElse(route.Priority, declaration.Interactive),
		number(cmp.Or(route.FirstByteMS, declaration.DefaultFirstByteMS)), numberList(route.RetryStatuses),
		numberList(route.FailStatuses),
	}
}

func revisionRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for i := range snapshot.Services {
		facts := &snapshot.Services[i]
		behind := len(nodesBehind(snapshot, facts.Revision))
		inForce := len(snapshot.Nodes) - behind
		rows = append(rows, []string{string(facts.Service.Name), number(facts.Revision), number(inForce), number(behind)})
	}
	return rows
}

// nodesBehind returns the nodes that are not known to have the revision in force.
func nodesBehind(snapshot *Snapshot, revision int64) []string {
	var behind []string
	for _, node := range snapshot.Nodes {
		if node.Record.ConfigRevision < revision {
			behind = append(behind, string(node.Record.ID))
		}
	}
	return behind
}
