package placement

import "github.com/sardinereach/sardinereach/internal/routing"

// Choice is the target to ask next.
type Choice struct {
	Candidate *routing.Candidate
	Mode      Mode
}
