package detect

import "time"

// historyLength is the number of outcomes that are kept one by one. It covers what a target with a few slots answers
// while a request hangs; with more answers than that in the meantime, the hanging request is no evidence anyway.
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

// since counts the outcomes that came in after a time, as far as they are kept.
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
