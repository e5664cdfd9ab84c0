package eject

import "testing"

// maxAttempts is the number of times that each requester of the exhaustive test reads and swaps.
const maxAttempts = 2

// requester is a node that requests a permit for its target until the permit is granted or refused, or maxAttempts is
// reached.
type requester struct {
	request  PermitRequest
	attempts int
	// read is set between the read and the swap.
	read     bool
	doc      Document
	revision int64
	done     bool
	granted  bool
}

// explore runs every interleaving of the requesters' steps, and each swap once with the response received and once with
// the response lost.
func explore(t *testing.T, r register, requesters [3]requester, floor int, leaves *int) {
	active := false
	for i := range requesters {
		if requesters[i].done {
			continue
		}
		active = true
		for _, lost := range []bool{false, true} {
			nextRegister, next := r, requesters
			swapped := next[i].step(&nextRegister, floor, lost)
			if err := check(nextRegister.doc, service(8), floor); err != nil {
				t.Fatal(err)
			}
			explore(t, nextRegister, next, floor, leaves)
			if !swapped {
				break
			}
		}
	}
	if active {
		return
	}
	*leaves++
	for _, req := range requesters {
		if req.granted && !req.request.IsGranted(r.doc) {
			t.Fatalf("%s treats its request as granted, but the document has no such entry", req.request.Holder)
		}
	}
}

// step reads or swaps. It reports whether it was a swap that took effect, so that its response may be lost.
func (req *requester) step(r *register, floor int, lost bool) bool {
	if !req.read {
		req.doc, req.revision, req.read = r.doc, r.revision, true
		req.granted = req.request.IsGranted(req.doc)
		req.done = req.granted || req.attempts == maxAttempts
		return false
	}
	req.read = false
	req.attempts++
	changed, err := Request(req.doc, service(8), floor, req.request)
	if err != nil {
		req.done = true
		return false
	}
	if !r.swap(req.revision, changed) {
		return false
	}
	if !lost {
		req.granted, req.done = true, true
	}
	return true
}

// Guards against interleavings of three concurrent requests, with lost responses, that eject more targets than the
// floor allows or make a node treat a request as granted although its entry does not exist.
func TestAllInterleavingsOfThreeRequests(t *testing.T) {
	for _, floor := range []int{42, 49, 50} {
		leaves := 0
		explore(t, register{}, [3]requester{{request: permitRequest(0)}, {request: permitRequest(1)}, {request: permitRequest(2)}}, floor, &leaves)
		// Three requesters that are all refused at their first request have 90 interleavings of their two steps.
		if leaves < 90 {
			t.Errorf("floor %d: only %d schedules were explored", floor, leaves)
		}
		t.Logf("floor %d: %d schedules", floor, leaves)
	}
}
