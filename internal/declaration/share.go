package declaration

import "github.com/sardinereach/sardinereach/internal/model"

// Share is a service's part of the requests of a route.
type Share struct {
	Service model.ServiceName `json:"service"`
	// Weight is relative to the sum of the weights; 0 gets nothing.
	Weight float64 `json:"weight"`
}

// Pick returns the service for a request; draw is between 0 and 1 exclusive. It returns "" without a positive weight.
func Pick(shares []Share, draw float64) model.ServiceName {
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	point := draw * total
	var last model.ServiceName
	for _, share := range shares {
		if share.Weight <= 0 {
			continue
		}
		last = share.Service
		point -= share.Weight
		if point < 0 {
			break
		}
	}
	return last
}
