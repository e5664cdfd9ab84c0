package admission

// RetainedBytes returns the total size of the retained responses.
func (p *Point) RetainedBytes() int64 { return p.retainedBytes }
