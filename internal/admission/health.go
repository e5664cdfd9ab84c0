package admission

import "time"

const (
	// probePause is the time after a probe began until the next one. It doubles with each further one. A probe that hangs does
	// not hold up the next: it may last until its deadline, long after the target has recovered.
	probePause = 200 * time.Millisecond
	// maxProbePause bounds the pause, and so the time for which a target that has recovered stays out.
	maxProbePause = 500 * time.Millisecond
	// minProofs and maxProofs bound the good answers in a row by which a doubtful target returns. A target that fails three
	// quarters of its work gives two in a row once in sixteen tries.
	minProofs = 2
	maxProofs = 3
	// maxFailureStatuses is the number of answers with a failure status, less the good ones since, that makes a target
	// doubtful. One such answer says little: the target may have failed because a call of its own did.
	maxFailureStatuses = 2
	// maxOverdue is the number of overdue runs, less the good answers since, that makes a target doubtful. One healthy run in
	// thirty is overdue, so that a busy target would be doubted every few seconds for a single one.
	maxOverdue = 2
	// maxSheds is the number of sheds, less twice the good answers since, that makes a target doubtful. A shed costs its caller
	// little, and a target that sheds half of its work still serves the other half.
	maxSheds = 4
	// relapseTime is the time after a return in which another failure asks for one more proof than the last time.
	relapseTime = 4 * time.Second
)

// health is what the last runs at a target say about it. A target with a failed or an overdue run is doubtful until a few
// runs in a row have gone well. A doubtful target gets idempotent requests alone, a few a second, because those can be
// repeated elsewhere: the load that this answers is a target that hangs or fails most of its work for seconds while its
// health check is good.
type health struct {
	doubtful bool
	// proofs is the number of good answers in a row that are still needed.
	proofs int
	// asked is the number that was needed at the last doubt.
	asked int
	pause time.Duration
	// probeAt is the active time from which the next probe may start.
	probeAt time.Duration
	// since and returned are the active times of the last doubt and of the last return.
	since           time.Duration
	returned        time.Duration
	failureStatuses int
	// overdue counts overdue runs, less the good answers since.
	overdue int
	sheds   int
}

// shed takes in that the target declared not to have run a request.
func (h *health) shed(now time.Duration) {
	h.sheds++
	if h.sheds >= maxSheds {
		h.failed(now)
	}
}

// ranOverdue takes in a run that has become overdue.
func (h *health) ranOverdue(now time.Duration) {
	h.overdue++
	if h.doubtful || h.overdue >= maxOverdue {
		h.failed(now)
	}
}

// answeredFailure takes in an answer with a failure status.
func (h *health) answeredFailure(now time.Duration) {
	h.failureStatuses++
	if h.doubtful || h.failureStatuses >= maxFailureStatuses {
		h.failed(now)
	}
}

// failed takes in a failed or overdue run.
func (h *health) failed(now time.Duration) {
	if !h.doubtful {
		h.doubt(now)
		return
	}
	h.asked = min(h.asked+1, maxProofs)
	h.proofs = h.asked
}

// probed takes in that a request has started at a doubtful target.
func (h *health) probed(now time.Duration) {
	h.probeAt = now + h.pause
	h.pause = min(2*h.pause, maxProbePause)
}

func (h *health) doubt(now time.Duration) {
	h.doubtful = true
	h.since = now
	h.failureStatuses = 0
	h.overdue = 0
	h.sheds = 0
	if h.asked > 0 && now-h.returned < relapseTime {
		h.asked = min(h.asked+1, maxProofs)
	} else {
		h.asked = minProofs
	}
	h.proofs = h.asked
	h.pause = probePause
	h.probeAt = now
}

// succeeded takes in a good answer, also a late one.
func (h *health) succeeded(now time.Duration) {
	h.failureStatuses = max(h.failureStatuses-1, 0)
	h.overdue = max(h.overdue-1, 0)
	h.sheds = max(h.sheds-2, 0)
	if !h.doubtful {
		return
	}
	h.proofs--
	if h.proofs > 0 {
		h.probeAt = now
		return
	}
	h.doubtful = false
	h.returned = now
}

// admits reports whether a request may start. probes is the number of runs that began since the target is doubtful; one slot
// is kept free of them, because those that hang hold theirs for long.
func (h *health) admits(now time.Duration, idempotent bool, probes, slots int) bool {
	if !h.doubtful {
		return true
	}
	return idempotent && probes < max(slots-1, 1) && now >= h.probeAt
}
