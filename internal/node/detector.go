package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
)

// detector is the failure detector of one target, with the values that the node publishes about the target.
type detector struct {
	*detect.Detector
	service   model.ServiceName
	phase     detect.Phase
	firstByte time.Duration
}
