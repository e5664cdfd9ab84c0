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

// Explanation is the routing decision for a request in the current state.
type Explanation struct {
	// Refusal is the reason for which the request would be refused, empty if a target would be picked.
	Refusal verdict.Reason
	// Service and Route are empty and nil if no route matches.
	Service    model.ServiceName
	Route      *declaration.Route
	Class      declaration.Class
	Candidates []Candidate
}

// Candidate is one target of the service. Candidates are listed in target order.
type Candidate struct {
	Target model.TargetID
	Node   model.NodeID
	Region model.Region
	Domain model.FailureDomain
	// Picked is true for the target that the request would be sent to.
	Picked bool
	// Why is the reason for which the target is picked or not, in a few words, such as "draining" or "another region".
	Why string
}
