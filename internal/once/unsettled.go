package once

const (
	// maxUnsettled bounds the writes that wait for the store. The oldest are given up beyond it: their claims then end
	// as may-have-run when the holder has forgotten them.
	maxUnsettled = 4096
	// maxUnsettledBytes bounds the answers in these writes. Beyond it only the outcome waits.
	maxUnsettledBytes = 8 << 20
)

// pending is a write that the store did not take.
type pending struct {
	key   string
	claim ClaimID
	// remove means to delete the claim, because nothing ran under it.
	remove bool
	// outcome is the document to write otherwise.
	outcome *document
}

// unsettled is the list of writes that wait for the store, oldest first.
type unsettled struct {
	list  []pending
	bytes int64
}

func (u *unsettled) add(p pending) {
	if len(u.list) >= maxUnsettled {
		u.take()
	}
	if u.bytes+p.size() > maxUnsettledBytes {
		p.outcome.Answer = nil
	}
	u.bytes += p.size()
	u.list = append(u.list, p)
}

// take removes and returns the oldest write.
func (u *unsettled) take() (pending, bool) {
	if len(u.list) == 0 {
		return pending{}, false
	}
	p := u.list[0]
	u.list[0] = pending{}
	u.list = u.list[1:]
	u.bytes -= p.size()
	return p, true
}

// size returns the bytes of the answer that waits.
func (p *pending) size() int64 {
	if p.outcome == nil || p.outcome.Answer == nil {
		return 0
	}
	return p.outcome.Answer.Size()
}

func (c *Claims) postpone(p pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled.add(p)
}
