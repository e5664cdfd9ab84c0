package fleettest

import "testing"

// Guards against a pause that returns while a thread of the process still runs, so that a test takes what the process does
// meanwhile for what a stopped process did.
func TestPauseReturnsWhenTheProcessHasStopped(t *testing.T) {
	p, err := startProcess(t.TempDir(), "busy", "/bin/sh", "-c", "while :; do :; done")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	for range 500 {
		if err := p.Pause(); err != nil {
			t.Fatal(err)
		}
		if stopped, err := allThreadsStopped(p.cmd.Process.Pid); err != nil || !stopped {
			t.Fatalf("stopped after Pause: %v, %v", stopped, err)
		}
		if err := p.Resume(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a program name that is taken for the state.
func TestThreadState(t *testing.T) {
	for stat, want := range map[string]byte{"7 (sh) T 1": 'T', "7 (a) R (b) S 1": 'S', "": 0, "7 (sh)": 0} {
		if got := threadState([]byte(stat)); got != want {
			t.Errorf("%q: %q, want %q", stat, got, want)
		}
	}
}
