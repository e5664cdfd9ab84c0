package node

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// statusOf returns the HTTP status that is sent for an outcome without an upstream response.
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
	case verdict.APIKeyRequired, verdict.APIKeyUnknown:
		return http.StatusUnauthorized
	case verdict.QuotaExceeded:
		return http.StatusTooManyRequests
	case verdict.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.BodyIncomplete, verdict.BadRequest, verdict.KeyInvalid, verdict.PathAmbiguous:
		return http.StatusBadRequest
	case verdict.KeyMissing:
		return http.StatusPreconditionRequired
	case verdict.KeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is the minimum of the Retry-After header, and its value if no better estimate is available.
const defaultRetryAfter = time.Second

// writeError sends an error response with the verdict and the reason.
func (a *acceptor) writeError(w http.ResponseWriter, e *verdict.Error) {
	header := w.Header()
	if a.dialect.SardinereachHeaders {
		header.Set(headerVerdict, e.Verdict.String())
		header.Set(headerReason, string(e.Reason))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	status := statusOf(e)
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", a.challenge())
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", a.retryAfterText(e.RetryAfter))
	}
	w.WriteHeader(status)
	// The caller may have disconnected, so a write error is ignored.
	_, _ = fmt.Fprintf(w, "%s: %s\n", e.Verdict, refusalText(e))
}

// challenge tells callers how to send their API key (RFC 9110, section 11.6.1).
func (a *acceptor) challenge() string { return fmt.Sprintf("ApiKey header=%q", a.dialect.KeyHeader) }

// retryAfterText returns the value of Retry-After in the dialect of the callers.
func (a *acceptor) retryAfterText(wait time.Duration) string {
	wait = max(wait, defaultRetryAfter)
	if a.dialect.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 2, 64)
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// refusalText returns the error text for the caller. The cause is only logged, because it contains internal addresses.
func refusalText(e *verdict.Error) string {
	if e.Reason == verdict.StoreUnavailable {
		return string(e.Reason) + "; a ticket from POST " + ticketPath + " works without the store"
	}
	return string(e.Reason)
}
