package eject

import "github.com/sardinereach/sardinereach/internal/model"

// Ask says who asks for the ejection of which target.
type Ask struct {
	Target      model.TargetID
	Holder      model.NodeID
	Incarnation model.Incarnation
	// Reason says why, for operators.
	Reason string
}

// holds reports whether the entry belongs to the asking incarnation.
func (a Ask) holds(e Entry) bool {
	return e.Target == a.Target && e.Holder == a.Holder && e.Incarnation == a.Incarnation
}
