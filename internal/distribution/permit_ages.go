package distribution

import (
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// permitAges holds, for each permit document, the last time at which the document was certainly in the store. A node
// may enforce a permit only for a limited time after that, however long the document took to reach the node.
type permitAges map[string]permitObservation

type permitObservation struct {
	revision int64
	at       time.Duration
}

// record registers that the document was in the store at the time at, on this node's clock.
func (a permitAges) record(document config.Document, at time.Duration) {
	if !strings.HasPrefix(document.Key, EjectionPrefix) {
		return
	}
	newest := a[document.Key]
	switch {
	case document.Revision < newest.revision:
	case document.Revision > newest.revision:
		a[document.Key] = permitObservation{revision: document.Revision, at: at}
	default:
		a[document.Key] = permitObservation{revision: document.Revision, at: max(newest.at, at)}
	}
}

// age returns the age of the document at the time now, 0 if none is recorded for the key.
func (a permitAges) age(key string, now time.Duration) time.Duration {
	observation, ok := a[key]
	if !ok {
		return 0
	}
	return now - observation.at
}

// recordPermitAges registers that the documents were in the store at the time at. The caller holds d.mu.
func (d *Distributor) recordPermitAges(documents []config.Document, at time.Duration) {
	for _, document := range documents {
		d.ages.record(document, at)
	}
}

// PermitAge returns the time since the last moment at which the current permit document of the key was certainly in the
// store.
func (d *Distributor) PermitAge(key string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ages.age(key, d.options.Now())
}
