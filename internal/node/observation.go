package node

import (
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// observation is the end of an admitted attempt, as evidence about its target.
type observation struct {
	target  model.TargetID
	service model.ServiceName
	route   string
	// warming means that the target was in its cold-start ramp.
	warming bool
	// trial means that the attempt was a trial of a suspected target.
	trial  bool
	result upstream.Result
}
