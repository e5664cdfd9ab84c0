package once

const (
	// maxPendingWrites bounds the writes that wait for the store. Beyond it the oldest are dropped: their claims end as
	// may-have-run once they have expired from the holder's cache.
	maxPendingWrites = 4096
	// maxPendingBytes bounds the responses in these writes. Beyond it a write is queued without its response.
	maxPendingBytes = 8 << 20
)

// pendingWrite is a store write that remains to be made after a store failure.
type pendingWrite struct {
	key   string
	claim ClaimID
	// remove means that the claim is deleted because nothing ran under it.
	remove bool
	// outcome is the document to write if remove is false.
	outcome *document
}

// writeQueue is the queue of pending store writes, oldest first.
type writeQueue struct {
	list  []pendingWrite
	bytes int64
}

func (u *writeQueue) add(p pendingWrite) {
	if len(u.list) >= maxPendingWrites {
		u.pop()
	}
	if u.bytes+p.size() > maxPendingBytes {
		p.outcome.Answer = nil
	}
	u.bytes += p.size()
	u.list = append(u.list, p)
}

// pop removes and returns the oldest write. It returns false if the queue is empty.
func (u *writeQueue) pop() (pendingWrite, bool) {
	if len(u.list) == 0 {
		return pendingWrite{}, false
	}
	p := u.list[0]
	u.list[0] = pendingWrite{}
	u.list = u.list[1:]
	u.bytes -= p.size()
	return p, true
}

// size returns the size of the response in the write.
func (p *pendingWrite) size() int64 {
	if p.outcome == nil || p.outcome.Answer == nil {
		return 0
	}
	return p.outcome.Answer.Size()
}

func (c *Claims) enqueue(p pendingWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.add(p)
}
