package operator

import "github.com/sardinereach/sardinereach/internal/declaration"

// StoredService is a document with its revision in the store.
type StoredService struct {
	Document declaration.Document
	// Revision is the store revision of the document.
	Revision int64
}
