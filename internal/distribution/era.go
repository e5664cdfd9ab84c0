package distribution

import "github.com/sardinereach/sardinereach/internal/store"

// storeEra returns the newest era of the store that this node has received. Watchers receive it with their lists and
// watches, the other nodes with the complete revision of an auxiliary table in the responses of their peers.
func (t *tables) storeEra() int64 {
	return max(store.Era(t.ejections.table.Complete()), store.Era(t.quarantine.table.Complete()))
}

// recordStoreEra records the era of the store for the next snapshot. If it is not the first one that this node receives, the
// store was restored: this is reported and triggers a check of the own member record. The caller holds d.mu.
func (d *Distributor) recordStoreEra(revision int64) {
	era, first := d.tables.storeEra(), !d.eraKnown
	d.eraKnown = true
	if era == d.era {
		return
	}
	d.era = era
	d.publisher.documentsChanged = true
	if !first {
		signal(d.newEra)
		d.options.Report(Event{Kind: EraReceived, Revision: revision})
		return
	}
	d.checkRegistrationEra()
}

// checkRegistrationEra triggers a check of the own member record if it was last written or read before a restore of the
// store that this node has received. The caller holds d.mu.
func (d *Distributor) checkRegistrationEra() {
	if d.registered && d.registeredEra < d.era {
		signal(d.newEra)
	}
}
