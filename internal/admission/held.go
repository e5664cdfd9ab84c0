package admission

// HeldBytes returns the size of the answers that wait for collection.
func (p *Point) HeldBytes() int64 { return p.heldBytes }
