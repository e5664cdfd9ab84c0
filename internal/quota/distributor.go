package quota

import (
	"math"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Distributor grants permits from the parts that nodes have lent to it. Its buckets start empty, and shrink as soon as a loan
// ends: the lender may then use the part elsewhere.
type Distributor struct {
	// length is the longest time from an echoed reading to the end of its loan.
	length time.Duration
	loans  map[model.NodeID]heldLoan
	// newest are the newest calls of the lenders: a call that is overtaken must not lend what was taken back.
	newest  map[model.NodeID]newestCall
	buckets map[model.AccountName]*bucket
	// now is the time up to which shareSeconds was computed.
	now          time.Duration
	holding      holding
	shareSeconds float64
	// shrinks are the decreases of the holding, the oldest first. They bound the tokens of an account that has no bucket yet.
	shrinks []shrink
	// nextEnd is not after the end of any loan.
	nextEnd time.Duration
}

// NewDistributor returns a distributor without loans, for loans of the given length. It grants nothing.
func NewDistributor(length time.Duration) *Distributor {
	return &Distributor{
		length: length, loans: make(map[model.NodeID]heldLoan), newest: make(map[model.NodeID]newestCall),
		buckets: make(map[model.AccountName]*bucket), nextEnd: math.MaxInt64,
	}
}

// Lend records a loan that ends at the given time, in place of an earlier one of the node.
func (d *Distributor) Lend(now time.Duration, loan Loan, until time.Duration) {
	if loan.Divisor <= 0 || !d.isNewest(now, loan) {
		return
	}
	d.advance(now)
	held := heldLoan{part: 1 / float64(loan.Divisor), isCasting: loan.IsCasting, until: until}
	if d.loans[loan.Node].allowsMoreThan(held) {
		d.remove(loan.Node)
	}
	d.fillAll()
	d.loans[loan.Node] = held
	d.updateHolding()
}

// TakeBack ends the loan of the node.
func (d *Distributor) TakeBack(now time.Duration, loan Loan) {
	if !d.isNewest(now, loan) {
		return
	}
	d.advance(now)
	d.remove(loan.Node)
}

// isNewest records the call of a lender and reports whether no later one has arrived before it.
func (d *Distributor) isNewest(now time.Duration, loan Loan) bool {
	order := callOrder{incarnation: loan.Incarnation, serial: loan.Serial}
	if newest := d.newest[loan.Node]; newest.counts(now) && order.precedes(newest.order) {
		return false
	}
	d.newest[loan.Node] = newestCall{order: order, until: now + d.length}
	return true
}

// remove ends a loan now. The tokens that the rest may not hold are dropped: its lender may gain them anew elsewhere.
func (d *Distributor) remove(node model.NodeID) {
	if _, found := d.loans[node]; !found {
		return
	}
	d.fillAll()
	delete(d.loans, node)
	d.shrink()
}

// Take grants permits of an account: first for the requests that wait, and for expected ones only from the upper half of the
// bucket, because a permit that is not used is lost.
func (d *Distributor) Take(now time.Duration, account model.AccountName, limit Limit, waiting, expected int) Grant {
	d.advance(now)
	b := d.bucket(account, limit)
	b.fill(d.shareSeconds, d.holding)
	granted := min(max(waiting, 0), int(b.tokens))
	b.tokens -= float64(granted)
	spare := int(b.tokens - limit.capacity(d.holding)/2)
	extra := min(max(expected, 0), max(spare, 0))
	b.tokens -= float64(extra)
	grant := Grant{Permits: granted + extra}
	if granted < waiting {
		grant.NextIn = limit.fillTime(1-b.tokens, d.holding.share)
	}
	return grant
}

// Keep forgets the buckets of all accounts but those for which it returns true, and the calls that no longer count.
func (d *Distributor) Keep(now time.Duration, isLimited func(model.AccountName) bool) {
	for node, newest := range d.newest {
		if !newest.counts(now) {
			delete(d.newest, node)
		}
	}
	for account := range d.buckets {
		if !isLimited(account) {
			delete(d.buckets, account)
		}
	}
}

// CanGrant reports whether the parts lent now are enough for a bucket of the limit to hold a permit.
func (d *Distributor) CanGrant(now time.Duration, limit Limit) bool {
	d.advance(now)
	return limit.capacity(d.holding) >= 1
}

// Share returns the share of every limit that the distributor holds.
func (d *Distributor) Share(now time.Duration) float64 {
	d.advance(now)
	return d.holding.share
}

// bucket returns the bucket of the account. One with a changed limit keeps its tokens, up to the new burst.
func (d *Distributor) bucket(account model.AccountName, limit Limit) *bucket {
	b := d.buckets[account]
	if b == nil {
		b = &bucket{limit: limit, filledTo: d.shareSeconds, tokens: d.unusedTokens(limit)}
		d.buckets[account] = b
	}
	if b.limit != limit {
		b.fill(d.shareSeconds, d.holding)
		b.limit = limit
	}
	return b
}

// advance ends the loans whose time has passed, in the order of their ends.
func (d *Distributor) advance(now time.Duration) {
	for d.nextEnd <= now {
		d.integrate(d.nextEnd)
		d.fillAll()
		for node, loan := range d.loans {
			if loan.until <= d.nextEnd {
				delete(d.loans, node)
			}
		}
		d.shrink()
	}
	d.integrate(now)
}

// integrate adds the share-seconds up to the time.
func (d *Distributor) integrate(to time.Duration) {
	if to <= d.now {
		return
	}
	d.shareSeconds += d.holding.share * (to - d.now).Seconds()
	d.now = to
}

// updateHolding computes the holding and the next end of a loan.
func (d *Distributor) updateHolding() {
	share, hasCasting := 0.0, false
	d.nextEnd = math.MaxInt64
	for _, loan := range d.loans {
		share += loan.part
		hasCasting = hasCasting || loan.isCasting
		d.nextEnd = min(d.nextEnd, loan.until)
	}
	d.holding = newHolding(share, hasCasting)
}

// fillAll adds the tokens gained so far, before the holding changes: a bucket has no more than the holding at the time allows.
func (d *Distributor) fillAll() {
	for _, b := range d.buckets {
		b.fill(d.shareSeconds, d.holding)
	}
}

// shrink takes the parts that were removed out of the holding, and drops the tokens that the rest may not hold.
func (d *Distributor) shrink() {
	d.updateHolding()
	d.recordShrink()
	for _, b := range d.buckets {
		b.clamp(d.holding)
	}
}

// recordShrink records a decrease to the current holding. The oldest two records become one that allows no more than either.
func (d *Distributor) recordShrink() {
	d.shrinks = append(d.shrinks, shrink{holding: d.holding, shareSeconds: d.shareSeconds})
	if len(d.shrinks) <= maxShrinks {
		return
	}
	d.shrinks[1].holding = d.shrinks[0].holding.least(d.shrinks[1].holding)
	d.shrinks = slices.Delete(d.shrinks, 0, 1)
}

// unusedTokens returns the tokens of a bucket with the limit from which nothing was taken.
func (d *Distributor) unusedTokens(limit Limit) float64 {
	tokens := min(limit.PerSecond*d.shareSeconds, limit.capacity(d.holding))
	for _, s := range d.shrinks {
		tokens = min(tokens, limit.capacity(s.holding)+limit.PerSecond*(d.shareSeconds-s.shareSeconds))
	}
	return tokens
}
