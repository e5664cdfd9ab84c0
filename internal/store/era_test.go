package store

import "testing"

// Guards against a revision of an earlier era that counts as newer than one that was given out after a restore.
func TestPositionsAreOrderedByEra(t *testing.T) {
	before, after := Revision(1, 900_000), Revision(2, 3)
	if before >= after {
		t.Errorf("position %d before the restore is not below %d after it", before, after)
	}
	if Era(after) != 2 || WithinEra(after) != 3 {
		t.Errorf("position of era 2, revision 3 reads as era %d, revision %d", Era(after), WithinEra(after))
	}
	if Revision(0, 7) != 7 {
		t.Errorf("revision 7 of a store without restores has position %d", Revision(0, 7))
	}
}
