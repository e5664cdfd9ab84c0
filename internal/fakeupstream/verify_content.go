package fakeupstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// verifyChunkBytes is the number of bytes compared at a time.
const verifyChunkBytes = 64 << 10

// VerifyContent reads body to its end and returns the number of bytes read. The error reports where body differs from
// the Content of the same token and size, or that body is shorter or longer.
func VerifyContent(body io.Reader, token string, size int64) (int64, error) {
	want := Content(token, size)
	got := make([]byte, verifyChunkBytes)
	expected := make([]byte, verifyChunkBytes)
	var read int64
	for {
		n, err := io.ReadFull(body, got)
		if n > 0 {
			m, _ := io.ReadFull(want, expected[:n])
			if m < n {
				return read + int64(n), errors.Errorf("content is longer than %d bytes", size)
			}
			if !bytes.Equal(got[:n], expected[:n]) {
				return read, errors.Errorf("content differs after byte %d", read)
			}
			read += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return read, errors.Wrapf(err, "content truncated after %d of %d bytes", read, size)
		}
	}
	if read != size {
		return read, errors.Errorf("content has %d of %d bytes", read, size)
	}
	return read, nil
}
