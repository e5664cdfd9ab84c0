package distribution

import "testing"

// Guards against a watch with the long time limit of failing probes that outlasts the node's time as a watcher, so that the node
// reads nothing when it is a watcher again.
func TestForgottenProbesEndPendingWatches(t *testing.T) {
	d := &Distributor{probe: newStoreProbe()}
	d.probe.failing = true
	period := d.storePeriod()
	d.forgetProbes()
	if period.Err() == nil {
		t.Error("watches from the time of failing probes stay pending")
	}
	if period = d.storePeriod(); period.Err() != nil || d.isProbeFailing() {
		t.Error("the next watches end at once, or count as sent while probes fail")
	}
}
