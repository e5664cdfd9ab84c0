package operator

import (
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// ExplainRequest is the request to explain.
type ExplainRequest struct {
	Method string
	Path   string
	// Host is empty if the operator gave none.
	Host string
}

// Explanation says what would become of a request now.
type Explanation struct {
	// Refusal is the reason for which the request would be refused, empty if a target would be picked.
	Refusal verdict.Reason
	// Service and Route are empty and nil if no route matches.
	Service    model.ServiceName
	Route      *declaration.Route
	Class      declaration.Class
	Candidates []Candidate
}

// Candidate is one target of the service in the order of preference.
type Candidate struct {
	Target model.TargetID
	Node   model.NodeID
	Region model.Region
	Domain model.FailureDomain
	// Picked is true for the target that the request would get.
	Picked bool
	// Why says in a few words why the target is picked or not, such as "draining" or "another region".
	Why string
}
