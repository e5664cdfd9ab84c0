package fleettest

import "io"

// midwayReader calls a function between the first bytes and the rest.
type midwayReader struct {
	io.Reader
	midway func()
}

func withMidway(body io.Reader, midway func()) io.Reader {
	if midway == nil {
		return body
	}
	return &midwayReader{Reader: body, midway: midway}
}

// Read implements io.Reader.
func (m *midwayReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if m.midway != nil && n > 0 {
		m.midway()
		m.midway = nil
	}
	return n, err
}
