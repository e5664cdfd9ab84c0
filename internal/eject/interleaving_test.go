package eject

import "testing"

// attempts is the number of times that each asker of the exhaustive test reads and swaps.
const attempts = 2

// asker is a node that asks for its target until it is granted, refused or out of attempts.
type asker struct {
	ask   Ask
	tries int
	// read is set between the read and the swap.
	read     bool
	doc      Document
	revision int64
	done     bool
	granted  bool
}

// explore runs every order of the askers' steps, each swap with its answer received and lost.
func explore(t *testing.T, r register, askers [3]asker, floor int, leaves *int) {
	active := false
	for i := range askers {
		if askers[i].done {
			continue
		}
		active = true
		for _, lost := range []bool{false, true} {
			nextRegister, next := r, askers
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
	for _, a := range askers {
		if a.granted && !a.ask.Granted(r.doc) {
			t.Fatalf("%s believes in an entry that is not there", a.ask.Holder)
		}
	}
}

// step reads or swaps. It reports whether it was a swap that took effect, whose answer may be lost.
func (a *asker) step(r *register, floor int, lost bool) bool {
	if !a.read {
		a.doc, a.revision, a.read = r.doc, r.revision, true
		a.granted = a.ask.Granted(a.doc)
		a.done = a.granted || a.tries == attempts
		return false
	}
	a.read = false
	a.tries++
	changed, err := Request(a.doc, service(8), floor, a.ask)
	if err != nil {
		a.done = true
		return false
	}
	if !r.swap(a.revision, changed) {
		return false
	}
	if !lost {
		a.granted, a.done = true, true
	}
	return true
}

// Guards against any order of three concurrent requests, with lost answers, that ejects more than the floor allows or
// lets a node believe in an entry that it has not.
func TestAllInterleavingsOfThreeRequests(t *testing.T) {
	for _, floor := range []int{42, 49, 50} {
		leaves := 0
		explore(t, register{}, [3]asker{{ask: ask(0)}, {ask: ask(1)}, {ask: ask(2)}}, floor, &leaves)
		// Three askers that are all refused at their first request have 90 orders of their two steps.
		if leaves < 90 {
			t.Errorf("floor %d: only %d schedules were explored", floor, leaves)
		}
		t.Logf("floor %d: %d schedules", floor, leaves)
	}
}
