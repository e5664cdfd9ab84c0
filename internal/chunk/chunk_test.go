package chunk_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/chunk"
)

// routes returns random routes as JSON objects.
func routes(count int, seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf(`{"host":"%06x.example","path":"/%08x/","class":"idempotent","timeout_ms":8000}`, random.Uint32()>>8, random.Uint32())
	}
	return list
}

func document(routes []string) []byte {
	var b bytes.Buffer
	b.WriteString(`{"name":"ledger","routes":[`)
	for i, route := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(route)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func join(data []byte) []byte { return bytes.Join(chunk.Split(data), nil) }

// Guards against chunks that do not make up the document.
func TestChunksAreTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alphabet := rapid.SliceOfN(rapid.SampledFrom([]byte(`{},"ab`)), 0, 100_000)
		data := alphabet.Draw(t, "document")
		if !bytes.Equal(join(data), data) {
			t.Fatal("the chunks differ from the document")
		}
		for _, c := range chunk.Split(data) {
			if len(c) == 0 || len(c) > chunk.MaxBytes {
				t.Fatalf("a chunk of %d bytes", len(c))
			}
		}
	})
}

// Guards against a changed, added or removed route that changes most chunks of its document.
func TestChangeOfOneRecordChangesFewChunks(t *testing.T) {
	const count = 1400
	base := routes(count, 1)
	added := append(append(append([]string(nil), base[:700]...), routes(1, 2)...), base[700:]...)
	removed := append(append([]string(nil), base[:700]...), base[701:]...)
	changed := append(append(append([]string(nil), base[:700]...), routes(1, 2)...), base[701:]...)
	known := map[chunk.ID]bool{}
	for _, id := range chunk.ManifestOf(document(base)) {
		known[id] = true
	}
	for name, list := range map[string][]string{"added": added, "removed": removed, "changed": changed} {
		missing := 0
		for _, id := range chunk.ManifestOf(document(list)) {
			if !known[id] {
				missing++
			}
		}
		if missing == 0 || missing > 3 {
			t.Errorf("%s: %d of %d chunks are new", name, missing, len(known))
		}
	}
}

// Guards against packed chunks that are not restored, and against packed data that is longer than a chunk may be.
func TestPackedChunks(t *testing.T) {
	data := document(routes(20, 1))
	restored, err := chunk.Unpack(chunk.Pack(data))
	if err != nil || !bytes.Equal(restored, data) {
		t.Errorf("restored %d of %d bytes: %v", len(restored), len(data), err)
	}
	if _, err := chunk.Unpack(chunk.Pack(make([]byte, chunk.MaxBytes+1))); err == nil {
		t.Error("a chunk above the limit was unpacked")
	}
	if _, err := chunk.Unpack([]byte("no chunk")); err == nil {
		t.Error("data that is not compressed was unpacked")
	}
}

// Guards against manifests that are cut on the way.
func TestManifestOfPartsOfIDsIsInvalid(t *testing.T) {
	manifest := chunk.ManifestOf(document(routes(100, 1)))
	decoded, err := chunk.DecodeManifest(manifest.Encode())
	if err != nil || len(decoded) != len(manifest) || decoded[0] != manifest[0] {
		t.Errorf("decoded %d of %d IDs: %v", len(decoded), len(manifest), err)
	}
	if _, err := chunk.DecodeManifest(manifest.Encode()[1:]); err == nil {
		t.Error("a part of an ID was decoded")
	}
}
