package eject

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Document is the permit document of one service. The zero value represents an absent key.
type Document struct {
	// Sequence increases by one with each change, so that no two documents of a service are equal.
	Sequence uint64  `json:"sequence"`
	Entries  []Entry `json:"entries,omitempty"`
}

// Encode returns the JSON of the document.
func (d Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "permit document")
}

// Decode parses the JSON of a document. Empty data represents the zero document.
func Decode(data []byte) (Document, error) {
	var d Document
	if len(data) == 0 {
		return d, nil
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, errors.Wrap(err, "permit document")
	}
	return d, nil
}

// Find returns the entry of a target, and false if there is none.
func (d Document) Find(target model.TargetID) (Entry, bool) {
	i := d.index(target)
	if i < 0 {
		return Entry{}, false
	}
	return d.Entries[i], true
}

func (d Document) index(target model.TargetID) int {
	return slices.IndexFunc(d.Entries, func(e Entry) bool { return e.Target == target })
}

// next returns a copy with the next sequence, for the caller to change.
func (d Document) next() Document {
	return Document{Sequence: d.Sequence + 1, Entries: slices.Clone(d.Entries)}
}
