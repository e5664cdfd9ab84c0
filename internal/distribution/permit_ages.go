package distribution

import (
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// permitAges keeps, for each permit document, the last moment at which the document was surely in the store. A node may
// honour a permit only for a time after that moment, however long the document was on its way.
type permitAges map[string]permitSeen

type permitSeen struct {
	revision int64
	at       time.Duration
}

// note takes in that the document was in the store at the time at, on the own clock.
func (a permitAges) note(document config.Document, at time.Duration) {
	if !strings.HasPrefix(document.Key, EjectionPrefix) {
		return
	}
	known := a[document.Key]
	switch {
	case document.Revision < known.revision:
	case document.Revision > known.revision:
		a[document.Key] = permitSeen{revision: document.Revision, at: at}
	default:
		a[document.Key] = permitSeen{revision: document.Revision, at: max(known.at, at)}
	}
}

// age returns the age of the document at the time now, 0 for documents that have none.
func (a permitAges) age(key string, now time.Duration) time.Duration {
	known, ok := a[key]
	if !ok {
		return 0
	}
	return now - known.at
}

// noteAges takes in that the documents were in the store at the time at. d.mu is held.
func (d *Distributor) noteAges(documents []config.Document, at time.Duration) {
	for _, document := range documents {
		d.ages.note(document, at)
	}
}

// PermitAge returns the time since a moment at which the present permit document of the key was surely in the store.
func (d *Distributor) PermitAge(key string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ages.age(key, d.options.Now())
}
