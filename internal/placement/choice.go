package placement

import "github.com/sardinereach/sardinereach/internal/routing"

// Choice is the target of the next admission request, and the mode of that request.
type Choice struct {
	Candidate *routing.Candidate
	Mode      Mode
}
