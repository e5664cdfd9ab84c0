package chunk

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBytes and MaxBytes bound the size of a chunk; the last one of a document may be smaller.
	minBytes = 2 << 10
	MaxBytes = 16 << 10
	// recordsPerBoundary is the mean number of records after minBytes until one of them ends the chunk.
	recordsPerBoundary = 16
)

// recordEnd ends a record of a list of JSON objects, such as the routes of a service.
var recordEnd = []byte("},")

// Split returns the chunks of a document in order. They share the memory of data. Chunks end where the content of a record
// says so, so that a record that was added, removed or changed leaves the later chunks as they are.
func Split(data []byte) [][]byte {
	var chunks [][]byte
	for len(data) > 0 {
		size := firstChunk(data)
		chunks = append(chunks, data[:size:size])
		data = data[size:]
	}
	return chunks
}

// firstChunk returns the size of the first chunk of data.
func firstChunk(data []byte) int {
	limit := min(len(data), MaxBytes)
	size := 0
	for {
		record := recordSize(data[size:limit])
		if record == 0 {
			return limit
		}
		size += record
		if size >= minBytes && isBoundary(data[size-record:size]) {
			return size
		}
	}
}

// recordSize returns the size of the first record of data, 0 if data does not contain its end.
func recordSize(data []byte) int {
	end := bytes.Index(data, recordEnd)
	if end < 0 {
		return 0
	}
	return end + len(recordEnd)
}

// isBoundary reports whether a chunk may end after the record.
func isBoundary(record []byte) bool { return xxhash.Sum64(record)%recordsPerBoundary == 0 }
