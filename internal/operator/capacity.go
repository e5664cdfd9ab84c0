package operator

import "github.com/sardinereach/sardinereach/internal/model"

// capacity is the total capacity of all targets of a service, regardless of their state.
type capacity struct {
	slots   int
	targets int
}

// capacitiesOf sums the capacity of all services in one pass, because a large fleet has thousands of services.
func capacitiesOf(snapshot *Snapshot) map[model.ServiceName]capacity {
	capacities := make(map[model.ServiceName]capacity)
	for i := range snapshot.Nodes {
		for _, target := range snapshot.Nodes[i].Record.Targets {
			total := capacities[target.Service]
			total.slots += target.Slots
			total.targets++
			capacities[target.Service] = total
		}
	}
	return capacities
}
