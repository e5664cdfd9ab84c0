package distribution

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
)

// Guards against a confirmation that becomes younger on its way, because the time of the call is not added to its age.
func TestConfirmationDoesNotBecomeYoungerOnItsWay(t *testing.T) {
	const sentAt, age = 20 * time.Second, 3 * time.Second
	d := &Distributor{confirmation: newConfirmation(), tables: tables{config: config.NewTable(ConfigPrefix, 0)}}
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

// Guards against a confirmation by a peer whose documents are older than those of this node: it says nothing about later changes.
func TestConfirmationOfPeerThatIsBehindDoesNotCount(t *testing.T) {
	const sentAt = 20 * time.Second
	d := &Distributor{
		confirmation: newConfirmation(), tables: tables{config: config.NewTable(ConfigPrefix, 0)},
	}
	d.tables.config.Advance(7)
	d.recordConfirmation(&peerv1.PullResponse{ConfirmationAgeMs: 10, DocumentRevision: 6}, sentAt)
	if got := d.confirmation.newest(); got != noResponseYet {
		t.Errorf("a peer at revision 6 confirms revision 7 at %v", got)
	}
	d.recordConfirmation(&peerv1.PullResponse{ConfirmationAgeMs: 10, DocumentRevision: 7}, sentAt)
	if got := d.confirmation.newest(); got == noResponseYet {
		t.Error("a peer at revision 7 does not confirm revision 7")
	}
}
