package chunk

import "github.com/pkg/errors"

// Manifest is the list of the chunks of a document.
type Manifest []ID

// ManifestOf returns the manifest of the document.
func ManifestOf(data []byte) Manifest {
	chunks := Split(data)
	manifest := make(Manifest, len(chunks))
	for i, c := range chunks {
		manifest[i] = IDOf(c)
	}
	return manifest
}

// Encode returns the IDs one after the other.
func (m Manifest) Encode() []byte {
	data := make([]byte, 0, len(m)*IDBytes)
	for _, id := range m {
		data = append(data, id[:]...)
	}
	return data
}

// DecodeManifest is the inverse of Encode. It returns an error if data does not consist of whole IDs.
func DecodeManifest(data []byte) (Manifest, error) {
	if len(data)%IDBytes != 0 {
		return nil, errors.Errorf("chunk: a list of %d bytes is not a list of IDs", len(data))
	}
	manifest := make(Manifest, 0, len(data)/IDBytes)
	for ; len(data) > 0; data = data[IDBytes:] {
		manifest = append(manifest, ID(data[:IDBytes]))
	}
	return manifest, nil
}
