package main

import "github.com/sardinereach/sardinereach/internal/model"

var (
	targetIDs   [targets]model.TargetID
	targetIndex = make(map[model.TargetID]int, targets)
)

func init() {
	for i := range targetIDs {
		targetIDs[i] = targetID(i)
		targetIndex[targetIDs[i]] = i
	}
}
