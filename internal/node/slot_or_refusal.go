package node

import "github.com/sardinereach/sardinereach/internal/verdict"

// slotOrRefusal ends the wait of a queued attempt.
type slotOrRefusal struct {
	address string
	err     *verdict.Error
}
