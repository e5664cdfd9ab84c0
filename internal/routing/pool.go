package routing

import "sort"

// Pool is an immutable list of candidates of one service, in order of their tiers.
type Pool struct {
	// tiers groups the candidates by Tier, the most preferred tier first.
	tiers [][]*Candidate
	size  int
}

// NewPool sorts the candidates by tier and returns the pool.
func NewPool(candidates []*Candidate) *Pool {
	ordered := append([]*Candidate(nil), candidates...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Tier() < ordered[j].Tier() })
	p := &Pool{size: len(ordered)}
	for start := 0; start < len(ordered); {
		end := start
		for end < len(ordered) && ordered[end].Tier() == ordered[start].Tier() {
			end++
		}
		p.tiers = append(p.tiers, ordered[start:end])
		start = end
	}
	return p
}

// Len returns the number of candidates.
func (p *Pool) Len() int {
	if p == nil {
		return 0
	}
	return p.size
}

// All calls yield for each candidate in order of preference until it returns false.
func (p *Pool) All(yield func(*Candidate) bool) {
	if p == nil {
		return
	}
	for _, tier := range p.tiers {
		for _, c := range tier {
			if !yield(c) {
				return
			}
		}
	}
}

// Pick returns a candidate for the next attempt, nil if every candidate was tried. It picks the less loaded of two
// targets drawn by seed, from the first tier in which an untried target seems to have a free slot. If no tier has one, it
// uses the first tier with an untried target. It does not allocate.
func (p *Pool) Pick(tried *Tried, seed uint64) *Candidate {
	if p == nil {
		return nil
	}
	for _, tier := range p.tiers {
		if c := pickOfTwo(tier, tried, seed, true); c != nil {
			return c
		}
	}
	for _, tier := range p.tiers {
		if c := pickOfTwo(tier, tried, seed, false); c != nil {
			return c
		}
	}
	return nil
}

// pickOfTwo draws two different eligible candidates and returns the one with the lower score.
func pickOfTwo(tier []*Candidate, tried *Tried, seed uint64, needFree bool) *Candidate {
	eligible := 0
	for _, c := range tier {
		if isEligible(c, tried, needFree) {
			eligible++
		}
	}
	if eligible == 0 {
		return nil
	}
	first := int(seed % uint64(eligible))
	second := first
	if eligible > 1 {
		step := 1 + int((seed>>32)%uint64(eligible-1))
		second = (first + step) % eligible
	}
	a := nthEligible(tier, tried, needFree, first)
	b := nthEligible(tier, tried, needFree, second)
	if a == nil || b == nil {
		// Loads change while the tier is read, so fewer candidates may be eligible now. Return any remaining one.
		return firstNonNil(a, b, tier, tried)
	}
	if b.score() < a.score() {
		return b
	}
	return a
}

func firstNonNil(a, b *Candidate, tier []*Candidate, tried *Tried) *Candidate {
	if a != nil {
		return a
	}
	if b != nil {
		return b
	}
	return nthEligible(tier, tried, false, 0)
}

func isEligible(c *Candidate, tried *Tried, needFree bool) bool {
	if tried.Has(c.Target.ID) {
		return false
	}
	return !needFree || c.hasFreeSlot()
}

func nthEligible(tier []*Candidate, tried *Tried, needFree bool, n int) *Candidate {
	for _, c := range tier {
		if !isEligible(c, tried, needFree) {
			continue
		}
		if n == 0 {
			return c
		}
		n--
	}
	return nil
}
