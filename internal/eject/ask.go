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

// Granted reports whether the document has an entry of the asking incarnation. After a store answer was lost, the asking
// node reads the document back and calls it.
func (a Ask) Granted(doc Document) bool {
	entry, ok := doc.Find(a.Target)
	return ok && a.holds(entry)
}

// holds reports whether the entry belongs to the asking incarnation.
func (a Ask) holds(e Entry) bool {
	return e.Target == a.Target && e.Holder == a.Holder && e.Incarnation == a.Incarnation
}
