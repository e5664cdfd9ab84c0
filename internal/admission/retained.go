package admission

import "time"

// AwaitedResponses returns the number of retained responses that have not been acknowledged and whose accepting nodes may still ask
// for them. An accepting node asks until the deadline of its request.
func (p *Point) AwaitedResponses(now time.Duration) int {
	now = p.advance(now)
	awaited := 0
	p.retained.each(func(e expiry) {
		if r := p.records[e.attempt]; r != nil && r.answer != nil && now < r.awaitedUntil {
			awaited++
		}
	})
	return awaited
}
