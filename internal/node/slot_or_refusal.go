package node

import "github.com/sardinereach/sardinereach/internal/verdict"

// slotOrRefusal is the result of the wait of a queued attempt: the address of the upstream, or a refusal.
type slotOrRefusal struct {
	address string
	err     *verdict.Error
}
