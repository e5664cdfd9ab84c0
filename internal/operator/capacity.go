package operator

import "github.com/sardinereach/sardinereach/internal/model"

// capacity is what the targets of a service have together, whatever their state.
type capacity struct {
	slots   int
	targets int
}

// capacitiesOf adds up all services in one pass, because a large fleet has thousands of them.
func capacitiesOf(snapshot *Snapshot) map[model.ServiceName]capacity {
	capacities := make(map[model.ServiceName]capacity)
	for i := range snapshot.Nodes {
		for _, target := range snapshot.Nodes[i].Record.Targets {
			sum := capacities[target.Service]
			sum.slots += target.Slots
			sum.targets++
			capacities[target.Service] = sum
		}
	}
	return capacities
}
