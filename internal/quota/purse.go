package quota

import "time"

// Permit lets one request of an account pass until it expires.
type Permit struct{ Expires time.Duration }

// Purse holds the permits of one account at a node.
type Purse struct {
	permits []Permit
	// nextAt is the time at which the distributor expects to have a permit.
	nextAt time.Duration
	// refusedUntil is the time until which requests are refused without asking.
	refusedUntil time.Duration
	// refused is the number of requests that were refused until then.
	refused int
	usage   usage
}

// Take removes the permit that expires first, false if there is none.
func (p *Purse) Take(now time.Duration) (Permit, bool) {
	p.dropExpired(now)
	if len(p.permits) == 0 {
		return Permit{}, false
	}
	permit := p.permits[0]
	p.permits = p.permits[1:]
	return permit, true
}

// Count counts a request of the account, so that Expected follows its demand.
func (p *Purse) Count(now time.Duration) { p.usage.add(now) }

// Add adds permits that expire at the given time.
func (p *Purse) Add(count int, expires time.Duration) {
	for range count {
		p.insert(Permit{Expires: expires})
	}
}

// Return gives back the permit of a request that has not run.
func (p *Purse) Return(now time.Duration, permit Permit) {
	if permit.Expires > now {
		p.insert(permit)
	}
}

// maxUnasked is the longest time for which requests are refused without asking: the distributor may gain parts meanwhile.
const maxUnasked = 500 * time.Millisecond

// RefuseFor records that the distributor expects no permit within the given time.
func (p *Purse) RefuseFor(now, wait time.Duration) {
	p.nextAt, p.refusedUntil, p.refused = now+wait, now+min(wait, maxUnasked), 0
}

// IsRefused reports whether no permit needs to be asked for, because there is none yet.
func (p *Purse) IsRefused(now time.Duration) bool { return now < p.refusedUntil }

// Refuse counts a refused request and returns the time after which it may come again. Requests that are refused one after the other
// are told times at the distance of the limit's permits.
func (p *Purse) Refuse(now time.Duration, limit Limit) time.Duration {
	wait := max(p.nextAt-now, 0) + limit.fillTime(float64(p.refused), 1)
	p.refused++
	return min(wait, maxFillTime)
}

// Expected returns the number of permits beyond those at hand that the node will probably use while a new permit is valid.
func (p *Purse) Expected(now time.Duration) int {
	p.dropExpired(now)
	return max(p.usage.recent(now)-len(p.permits), 0)
}

// IsIdle reports whether the purse can be forgotten.
func (p *Purse) IsIdle(now time.Duration) bool {
	p.dropExpired(now)
	return len(p.permits) == 0 && p.refusedUntil <= now && p.usage.isIdle(now)
}

// insert keeps the permits in the order in which they expire.
func (p *Purse) insert(permit Permit) {
	i := len(p.permits)
	for i > 0 && p.permits[i-1].Expires > permit.Expires {
		i--
	}
	p.permits = append(p.permits, Permit{})
	copy(p.permits[i+1:], p.permits[i:])
	p.permits[i] = permit
}

func (p *Purse) dropExpired(now time.Duration) {
	for len(p.permits) > 0 && p.permits[0].Expires <= now {
		p.permits = p.permits[1:]
	}
}
