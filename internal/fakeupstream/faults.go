package fakeupstream

import "github.com/pkg/errors"

// Faults are the faults injected at present. The zero value injects none.
type Faults struct {
	// ErrorShare is the share of requests answered with status 500, between 0 and 1.
	ErrorShare float64 `json:"error_share,omitempty"`
	// FailWork answers all work with status 500, while probes succeed.
	FailWork bool `json:"fail_work,omitempty"`
	// Shed answers all work with status 503 and HeaderNotRun.
	Shed bool `json:"shed,omitempty"`
	// FirstByteMS delays the first byte of each answer to work, in milliseconds.
	FirstByteMS int64 `json:"first_byte_ms,omitempty"`
	// StallAfterBytes stops answers with a body after this many bytes and leaves the connection open. 0 means off.
	StallAfterBytes int64 `json:"stall_after_bytes,omitempty"`
	// TruncateAfterBytes closes the connection after this many bytes of a body. 0 means off.
	TruncateAfterBytes int64 `json:"truncate_after_bytes,omitempty"`
	// Hang runs work and never answers it.
	Hang bool `json:"hang,omitempty"`
	// DropAnswer does the work of a request and closes the connection in place of an answer.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// StuckLoad is announced as load in place of the true one.
	StuckLoad *float64 `json:"stuck_load,omitempty"`
	// Freeze holds work, probes and announcements until it is turned off.
	Freeze bool `json:"freeze,omitempty"`
	// Mute stops announcements, while work goes on.
	Mute bool `json:"mute,omitempty"`
	// IgnorePoison runs poisonous requests as any other. Otherwise they crash the process.
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
