package eject

import "github.com/sardinereach/sardinereach/internal/model"

// PermitRequest is the request of a node for a permit to eject a target.
type PermitRequest struct {
	Target      model.TargetID
	Holder      model.NodeID
	Incarnation model.Incarnation
	// Reason tells operators why the ejection is requested.
	Reason string
}

// IsGranted reports whether the document has an entry of the requesting incarnation. After a write with an unknown
// outcome, the requesting node reads the document again and calls IsGranted.
func (r PermitRequest) IsGranted(doc Document) bool {
	entry, ok := doc.Find(r.Target)
	return ok && r.owns(entry)
}

// owns reports whether the entry belongs to the requesting incarnation.
func (r PermitRequest) owns(e Entry) bool {
	return e.Target == r.Target && e.Holder == r.Holder && e.Incarnation == r.Incarnation
}
