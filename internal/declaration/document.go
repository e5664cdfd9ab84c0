package declaration

import (
	"encoding/json"
	"reflect"

	"github.com/pkg/errors"
)

// Document is the stored form of a service: the fields of the service, followed by the ID of the change that wrote it.
// Decode reads a document as a service and ignores the ID. A document without an ID has the same encoding as its service.
type Document struct {
	Service
	// ChangeID identifies the write. A node that serves the operators' API reads it back to find out whether a write whose
	// response was lost took effect. It is empty for a document that was written without an ID.
	ChangeID string `json:"change_id,omitempty"`
}

// EncodeDocument validates the service of a document and returns the document's canonical JSON.
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

// DecodeDocument parses a document and validates its service. A field that this build does not know is an error: a write of what
// is understood alone would remove it.
func DecodeDocument(data []byte) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "service document")
	}
	if err := checkFields(data, reflect.TypeFor[Document]()); err != nil {
		return nil, errors.Wrapf(err, "document of service %q", d.Name)
	}
	d.dropImpliedRequirements()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}
