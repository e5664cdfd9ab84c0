package operator

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/model"
)

func nodeRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for i := range snapshot.Nodes {
		status := &snapshot.Nodes[i]
		record := &status.Record
		rows = append(rows, []string{
			string(record.ID), string(record.Region), string(record.Domain), number(record.ConfigRevision),
			number(len(record.Targets)), nodeState(status), milliseconds(status.Age), number(record.Incarnation),
			record.PeerAddress, record.CallerAddress, record.OperatorAddress,
		})
	}
	return rows
}

func nodeState(status *NodeStatus) string {
	switch {
	case status.Unresponsive:
		return "silent"
	case status.Record.Stopping:
		return "stopping"
	}
	return "ok"
}

func targetRows(snapshot *Snapshot) [][]string {
	ejected := ejectedTargets(snapshot)
	drained := drainedTargets(snapshot)
	var rows [][]string
	for i := range snapshot.Nodes {
		node := &snapshot.Nodes[i]
		for _, target := range node.Record.Targets {
			state := targetState(node, target, ejected[target.ID], drained[target.ID])
			rows = append(rows, targetRow(node, target, state))
		}
	}
	return rows
}

func targetRow(node *NodeStatus, target model.Target, state string) []string {
	record := &node.Record
	return []string{
		string(target.ID), string(target.Service), string(record.ID), target.Phase.String(), number(target.Slots),
		number(target.InFlight), number(target.Queued), state, milliseconds(node.Age), string(record.Domain),
		string(record.Region), target.Address, number(target.RampSlots), number(target.Successes), number(target.Failures),
		milliseconds(target.FirstByte),
	}
}

// targetState lists the conditions that restrict a target, or returns "ok" if there is none. It returns "unknown" for a
// target of an unresponsive node, because the last received state may be out of date.
func targetState(node *NodeStatus, target model.Target, ejected, drained bool) string {
	if node.Unresponsive {
		return "unknown"
	}
	var state []string
	for _, condition := range []struct {
		applies bool
		name    string
	}{
		{node.Record.Stopping, "node-stopping"}, {drained, "drained"}, {ejected, "ejected"}, {target.Suspected, "suspect"},
		{target.Missing, "missing"},
	} {
		if condition.applies {
			state = append(state, condition.name)
		}
	}
	return orElse(strings.Join(state, ","), "ok")
}

func ejectedTargets(snapshot *Snapshot) map[model.TargetID]bool {
	ejected := make(map[model.TargetID]bool)
	for _, ejection := range snapshot.Ejections {
		ejected[ejection.Target] = true
	}
	return ejected
}

func drainedTargets(snapshot *Snapshot) map[model.TargetID]bool {
	drained := make(map[model.TargetID]bool)
	for i := range snapshot.Services {
		for _, target := range snapshot.Services[i].Service.Draining {
			drained[target] = true
		}
	}
	return drained
}
