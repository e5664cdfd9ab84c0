package detect

import "time"

// historyLength is the number of outcomes that are stored individually. It covers the requests that a target with a few
// slots completes while one request hangs. If more requests complete in that time, the hanging request is no evidence
// in any case.
const historyLength = 64

// history holds the last outcomes of the target.
type history struct {
	at    [historyLength]time.Duration
	class [historyLength]Class
	next  int
	total int
}

// add adds one outcome.
func (h *history) add(now time.Duration, class Class) {
	h.at[h.next], h.class[h.next] = now, class
	h.next = (h.next + 1) % historyLength
	h.total = min(h.total+1, historyLength)
}

// since counts the stored outcomes that were received at or after start.
func (h *history) since(start time.Duration) Counts {
	var counts Counts
	for k := 1; k <= h.total; k++ {
		i := (h.next - k + historyLength) % historyLength
		if h.at[i] < start {
			break
		}
		counts[h.class[i]]++
	}
	return counts
}
