package declaration

import "github.com/sardinereach/sardinereach/internal/model"

// Share is the weight of a service in the split of a route.
type Share struct {
	Service model.ServiceName `json:"service"`
	// Weight is relative to the sum of the weights; a service with weight 0 gets no requests.
	Weight float64 `json:"weight"`
}

// Pick returns the service for a request. draw is a random number between 0 and 1 exclusive. Pick returns "" if no weight
// is positive.
func Pick(shares []Share, draw float64) model.ServiceName {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	position := draw * total
	var picked model.ServiceName
	for _, share := range shares {
		if share.Weight <= 0 {
			continue
		}
		picked = share.Service
		position -= share.Weight
		if position < 0 {
			break
		}
	}
	return picked
}
