package declaration_test

import (
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against a document encoding that changes the canonical JSON of the service, or that Decode cannot read.
func TestDocumentPreservesServiceEncoding(t *testing.T) {
	service := declaration.Service{Name: "s", FloorSlots: 3, Routes: []declaration.Route{{Path: "/"}}}
	plain, err := service.Encode()
	if err != nil {
		t.Fatal(err)
	}
	withoutID, err := declaration.EncodeDocument(&declaration.Document{Service: service})
	if err != nil || string(withoutID) != string(plain) {
		t.Errorf("without an ID %s, %v, want %s", withoutID, err, plain)
	}
	withID, err := declaration.EncodeDocument(&declaration.Document{Service: service, ChangeID: "n1.7.1"})
	want := strings.TrimSuffix(string(plain), "}") + `,"change_id":"n1.7.1"}`
	if err != nil || string(withID) != want {
		t.Errorf("with an ID %s, %v, want %s", withID, err, want)
	}
	decoded, err := declaration.Decode(withID)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := decoded.Encode(); err != nil || string(again) != string(plain) {
		t.Errorf("the service of a document is encoded as %s, %v, want %s", again, err, plain)
	}
	document, err := declaration.DecodeDocument(withID)
	if err != nil || document.ChangeID != "n1.7.1" || document.Name != "s" {
		t.Errorf("document %+v, %v", document, err)
	}
}

// Guards against documents that are stored or read without validation.
func TestDocumentIsValidated(t *testing.T) {
	invalid := declaration.Document{Service: declaration.Service{Name: "S"}}
	if _, err := declaration.EncodeDocument(&invalid); err == nil {
		t.Error("an invalid document is encoded")
	}
	for _, text := range []string{`{"name":"S","policy":{},"routes":[]}`, `{`, ``, `[]`} {
		if _, err := declaration.DecodeDocument([]byte(text)); err == nil {
			t.Errorf("%q is decoded", text)
		}
	}
}
