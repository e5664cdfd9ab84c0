package admission

// RetainedResponses returns the number of retained responses.
func (p *Point) RetainedResponses() int {
	n := 0
	p.retained.each(func(e expiry) {
		if r := p.records[e.attempt]; r != nil && r.answer != nil {
			n++
		}
	})
	return n
}
