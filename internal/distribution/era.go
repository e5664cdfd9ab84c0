package distribution

import "github.com/sardinereach/sardinereach/internal/store"

// storeEra returns the newest era of the store that this node has received. Watchers receive it with their lists and
// watches, the other nodes with the complete revision of an auxiliary table in the responses of their peers.
func (t *tables) storeEra() int64 {
	return max(store.Era(t.ejections.table.Complete()), store.Era(t.quarantine.table.Complete()))
}

// recordStoreEra reports a new era of the store, schedules it for the next snapshot and triggers the check of the own
// member record. The caller holds d.mu.
func (d *Distributor) recordStoreEra(revision int64) {
	era := d.tables.storeEra()
	if era == d.era {
		return
	}
	d.era = era
	d.publisher.documentsChanged = true
	signal(d.newEra)
	d.options.Report(Event{Kind: EraReceived, Revision: revision})
}
