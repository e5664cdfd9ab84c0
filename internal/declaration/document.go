package declaration

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Document is a service as the store holds it: the fields of the service and, after them, the ID of the change that
// wrote it. Decode reads a document as a service and leaves the ID out, and a document without an ID has the encoding of
// its service.
type Document struct {
	Service
	// ChangeID names the write. An operator's node reads it back to learn whether a write with a lost answer took
	// effect. It is empty for a document that was written without one.
	ChangeID string `json:"change_id,omitempty"`
}

// EncodeDocument returns the canonical JSON of a document whose service is valid.
func EncodeDocument(d *Document) ([]byte, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s", d.Name)
	}
	if len(data) > maxDocumentBytes {
		return nil, errors.Errorf("service %s: document of %d bytes is over the store's %d", d.Name, len(data), maxDocumentBytes)
	}
	return data, nil
}

// DecodeDocument parses a document and validates its service.
func DecodeDocument(data []byte) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "service document")
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}
