package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
)

// detector is the detector of one target with what the node tells the fleet about it.
type detector struct {
	*detect.Detector
	service   model.ServiceName
	phase     detect.Phase
	firstByte time.Duration
}
