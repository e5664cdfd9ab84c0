package distribution

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Guards against a confirmation that becomes younger on its way, because the time of the call is not added to its age.
func TestConfirmationDoesNotBecomeYoungerOnItsWay(t *testing.T) {
	const sentAt, age = 20 * time.Second, 3 * time.Second
	d := &Distributor{confirmation: newConfirmation()}
	d.recordConfirmation(&peerv1.PullResponse{}, sentAt)
	if got := d.confirmation.newest(); got != noResponseYet {
		t.Errorf("a response without a confirmation counts as one at %v", got)
	}
	d.recordConfirmation(&peerv1.PullResponse{ConfirmationAgeMs: age.Milliseconds() + 1}, sentAt)
	if got := d.confirmation.newest(); got > sentAt-age {
		t.Errorf("a confirmation that was %v old in the answer to a call of %v counts as one at %v", age, sentAt, got)
	}
	newest := d.confirmation.newest()
	d.recordConfirmation(&peerv1.PullResponse{ConfirmationAgeMs: time.Minute.Milliseconds()}, sentAt)
	if got := d.confirmation.newest(); got != newest {
		t.Errorf("an older confirmation replaces one at %v by one at %v", newest, got)
	}
}
