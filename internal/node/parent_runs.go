package node

import "time"

// parentRuns records which requests the local targets may be running, by the IDs of the requests. It tells the nested requests of
// these runs. A run whose complete response was not received may go on at its target until its deadline.
type parentRuns struct {
	byRequest map[string]*parentRun
}

// parentRun is the state of a request at the local targets.
type parentRun struct {
	// running is the number of attempts in progress.
	running int
	// until is the time up to which an ended attempt may go on at its target.
	until time.Duration
}

func newParentRuns() *parentRuns { return &parentRuns{byRequest: make(map[string]*parentRun)} }

// begin records that an attempt of the request is sent to a target.
func (p *parentRuns) begin(request string) {
	if request == "" {
		return
	}
	run := p.byRequest[request]
	if run == nil {
		run = new(parentRun)
		p.byRequest[request] = run
	}
	run.running++
}

// end records that the attempt has ended. It may go on at its target until the given time; 0 if it does not.
func (p *parentRuns) end(now time.Duration, request string, until time.Duration) {
	if run := p.byRequest[request]; run != nil {
		run.running--
		run.until = max(run.until, until)
	}
	for id, run := range p.byRequest {
		if !run.mayRun(now) {
			delete(p.byRequest, id)
		}
	}
}

// mayRun reports whether a local target may be running the request.
func (p *parentRuns) mayRun(now time.Duration, request string) bool {
	run := p.byRequest[request]
	return run != nil && run.mayRun(now)
}

func (r *parentRun) mayRun(now time.Duration) bool { return r.running > 0 || now < r.until }
