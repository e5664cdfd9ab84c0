package node

import (
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// observation is the end of an attempt that was sent to its target, as evidence for the failure detector.
type observation struct {
	target  model.TargetID
	service model.ServiceName
	route   string
	// coldStart means that the target was in its slow-start ramp.
	coldStart bool
	// isTrial means that the attempt was a trial request to a suspected target.
	isTrial bool
	result  upstream.Result
}
