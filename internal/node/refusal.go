package node

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// statusOf returns the HTTP status that a caller gets for an outcome without an answer.
func statusOf(e *verdict.Error) int {
	if e.Verdict != verdict.NotRun {
		if e.Reason == verdict.ClaimRunning {
			return http.StatusConflict
		}
		return http.StatusGatewayTimeout
	}
	switch e.Reason {
	case verdict.NoRoute:
		return http.StatusNotFound
	case verdict.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.BodyIncomplete, verdict.BadRequest, verdict.KeyInvalid:
		return http.StatusBadRequest
	case verdict.KeyMissing:
		return http.StatusPreconditionRequired
	case verdict.KeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is what callers are told to wait where waiting helps and no better time is known.
const defaultRetryAfter = time.Second

// writeError tells the caller that there is no answer, and why.
func (a *acceptor) writeError(w http.ResponseWriter, e *verdict.Error) {
	header := w.Header()
	if a.dialect.OwnHeaders {
		header.Set(headerVerdict, e.Verdict.String())
		header.Set(headerReason, string(e.Reason))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	status := statusOf(e)
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", a.retryAfterText(e.RetryAfter))
	}
	w.WriteHeader(status)
	// The caller may be gone; there is no one else to tell.
	_, _ = fmt.Fprintf(w, "%s: %s\n", e.Verdict, explain(e))
}

// retryAfterText returns the value of Retry-After in the dialect of the callers.
func (a *acceptor) retryAfterText(wait time.Duration) string {
	wait = max(wait, defaultRetryAfter)
	if a.dialect.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// explain returns a sentence for the caller. The cause stays in the logs, because it names internal addresses.
func explain(e *verdict.Error) string {
	if e.Reason == verdict.StoreUnavailable {
		return string(e.Reason) + "; a ticket from POST " + ticketPath + " works without the store"
	}
	return string(e.Reason)
}
