package store

import (
	"context"
	"io"
	"sync"
	"time"
)

// maxStalls bounds the time for which an answer may arrive, in units of the limit for a stall.
const maxStalls = 5

// progressTimeout ends a call whose answer does not arrive.
type progressTimeout struct {
	stall  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	arriving bool
	// deadline is the time at which the call ends although its answer is still arriving. It runs from the first part.
	deadline time.Time
}

type progressKey struct{}

// WithProgressTimeout returns a context that ends when no part of an answer has arrived within first, or when the next part has
// not arrived within stall after the one before. A large answer over a narrow link is not given up while it arrives, and not
// requested again from its beginning; its time is bounded by maxStalls times stall. The caller must call cancel.
func WithProgressTimeout(ctx context.Context, first, stall time.Duration) (bounded context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	p := &progressTimeout{stall: stall, cancel: cancelCause, timer: time.AfterFunc(first, func() { cancelCause(context.DeadlineExceeded) })}
	return context.WithValue(ctx, progressKey{}, p), func() {
		p.timer.Stop()
		cancelCause(context.Canceled)
	}
}

// Progress records that a part of the answer of the call with the context has arrived.
func Progress(ctx context.Context) {
	p, ok := ctx.Value(progressKey{}).(*progressTimeout)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.arriving {
		p.arriving = true
		p.deadline = now.Add(maxStalls * p.stall)
	}
	if p.timer.Stop() {
		p.timer.Reset(min(p.stall, p.deadline.Sub(now)))
	}
}

// Arrived records that the answer of the call with the context is whole, so that its time limits end.
func Arrived(ctx context.Context) {
	p, ok := ctx.Value(progressKey{}).(*progressTimeout)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arriving = true
	p.timer.Stop()
}

// waiting records that this node itself does not read the answer of the call with the context. The function that it returns records
// that it reads again; the time between does not count as silence. It is bounded as the arrival of an answer is.
func waiting(ctx context.Context) (over func()) {
	p, ok := ctx.Value(progressKey{}).(*progressTimeout)
	if !ok {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := time.Now()
	if p.timer.Stop() {
		p.timer.Reset(maxStalls * p.stall)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		p.deadline = p.deadline.Add(now.Sub(start))
		if p.timer.Stop() {
			p.timer.Reset(p.stall)
		}
	}
}

// CancelSilent ends the call with the context unless a part of its answer has arrived.
func CancelSilent(ctx context.Context) {
	p, ok := ctx.Value(progressKey{}).(*progressTimeout)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.arriving {
		p.cancel(context.Canceled)
	}
}

// ProgressReader returns a reader that records the progress of the call with the context.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader {
	return &progressReader{ctx: ctx, reader: r}
}

type progressReader struct {
	ctx    context.Context
	reader io.Reader
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		Progress(r.ctx)
	}
	return n, err
}
