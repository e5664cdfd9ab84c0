package fleettest

import "io"

// firstBytesReader calls a function once, after the first bytes are read.
type firstBytesReader struct {
	io.Reader
	onFirstBytes func()
}

func withOnFirstBytes(body io.Reader, onFirstBytes func()) io.Reader {
	if onFirstBytes == nil {
		return body
	}
	return &firstBytesReader{Reader: body, onFirstBytes: onFirstBytes}
}

// Read implements io.Reader.
func (r *firstBytesReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.onFirstBytes != nil && n > 0 {
		r.onFirstBytes()
		r.onFirstBytes = nil
	}
	return n, err
}
