package fakeupstream

import "github.com/pkg/errors"

// Faults are the injected faults. The zero value injects none. Health probes are affected only by Freeze.
type Faults struct {
	// ErrorShare is the share of requests that get status 500, between 0 and 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// FailWork fails all requests with status 500.
	FailWork bool `json:"fail_work,omitempty"`
	// Shed refuses all requests with status 503 and HeaderNotRun.
	Shed bool `json:"shed,omitempty"`
	// FirstByteMS delays the first byte of each response by this many milliseconds.
	FirstByteMS int64 `json:"first_byte_ms,omitempty"`
	// StallAfterBytes stalls a response after this many bytes of its Content. The connection stays open. 0 means off.
	StallAfterBytes int64 `json:"stall_after_bytes,omitempty"`
	// TruncateAfterBytes closes the connection after this many bytes of a response's Content. 0 means off.
	TruncateAfterBytes int64 `json:"truncate_after_bytes,omitempty"`
	// Hang runs requests and sends no response until it is turned off.
	Hang bool `json:"hang,omitempty"`
	// DropAnswer does the work of a request and closes the connection instead of responding.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// StuckLoad is announced as the load instead of the actual one.
	StuckLoad *float64 `json:"stuck_load,omitempty"`
	// Freeze blocks requests, health probes and announcements until it is turned off.
	Freeze bool `json:"freeze,omitempty"`
	// StopAnnouncements suppresses announcements, while requests keep running.
	StopAnnouncements bool `json:"mute,omitempty"`
	// IgnorePoison runs requests with HeaderPoison like any other. Otherwise they crash the process.
	IgnorePoison bool `json:"ignore_poison,omitempty"`
}

func (f *Faults) validate() error {
	if f.ErrorShare < 0 || f.ErrorShare > 1 {
		return errors.Errorf("error share %g: use 0 to 1", f.ErrorShare)
	}
	if f.FirstByteMS < 0 || f.StallAfterBytes < 0 || f.TruncateAfterBytes < 0 {
		return errors.New("faults: times and sizes are 0 or more")
	}
	return nil
}
