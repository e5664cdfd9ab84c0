package chunk

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// writers holds compressors, each of which takes several hundred kilobytes.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return writer
}}

// Pack compresses a chunk.
func Pack(data []byte) []byte {
	var packed bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	// Writes into a buffer do not fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack is the inverse of Pack. It returns an error for data that is not compressed or longer than MaxBytes.
func Unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer reader.Close()
	data, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "chunk: unpack")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("chunk: more than %d bytes", MaxBytes)
	}
	return data, nil
}
