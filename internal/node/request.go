package node

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Headers of callers' requests.
const (
	headerKey     = "Idempotency-Key"
	headerTicket  = "Sardinereach-Ticket"
	headerTimeout = "Sardinereach-Timeout-Ms"

	maxKeyBytes = 200
)

// request is a request that was accepted and read.
type request struct {
	match *routing.Match
	class declaration.Class
	// head is the template of the heads of its attempts.
	head        *peerv1.ForwardHead
	body        []byte
	deadline    time.Time
	fingerprint uint64
	rng         *rand.Rand
}

func (rq *request) idempotent() bool { return rq.class == declaration.Idempotent }

func (rq *request) remaining() time.Duration { return time.Until(rq.deadline) }

// readRequest reads the whole request.
func readRequest(w http.ResponseWriter, r *http.Request, match *routing.Match, maxBody int64, seed uint64) (*request, *verdict.Error) {
	timeout, err := timeoutOf(r, match.Route)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(timeout)
	body, err := readBody(w, r, maxBody, deadline)
	if err != nil {
		return nil, err
	}
	class := match.Route.ClassOf(r.Method)
	rq := &request{match: match, class: class, body: body, deadline: deadline, rng: rand.New(rand.NewPCG(seed, 0))}
	rq.fingerprint = fingerprintOf(r.Method, r.URL.RequestURI(), body)
	rq.head = &peerv1.ForwardHead{
		Service:       string(match.Service.Name),
		Idempotent:    rq.idempotent(),
		Method:        r.Method,
		Uri:           r.URL.RequestURI(),
		Host:          r.Host,
		Headers:       forwardedHeaders(r),
		Fingerprint:   rq.fingerprint,
		ContentLength: int64(len(body)),
		Route:         match.Route.Path,
		Bulk:          match.Route.Priority == declaration.Bulk,
	}
	rq.head.FirstByteMs = orDefault(match.Route.FirstByteMS, declaration.DefaultFirstByteMS)
	return rq, nil
}

func orDefault(value, fallback int64) int64 {
	if value == 0 {
		return fallback
	}
	return value
}

// timeoutOf returns the route's timeout, or the caller's if that is shorter.
func timeoutOf(r *http.Request, route *declaration.Route) (time.Duration, *verdict.Error) {
	timeout := time.Duration(orDefault(route.TimeoutMS, declaration.DefaultTimeoutMS)) * time.Millisecond
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0, verdict.Refused(verdict.BadRequest, errors.Wrap(err, headerTimeout))
	}
	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}

// readBody reads the whole body. A caller that sends it too slowly loses its connection at the deadline.
func readBody(w http.ResponseWriter, r *http.Request, maxBody int64, deadline time.Time) ([]byte, *verdict.Error) {
	if r.ContentLength > maxBody {
		return nil, verdict.Refused(verdict.BodyTooLarge, nil)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// Connections without deadlines exist in tests only, where a slow caller is no concern.
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refused(verdict.BodyTooLarge, err)
	}
	if err != nil {
		return nil, verdict.Refused(verdict.BodyIncomplete, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// fingerprintOf hashes what makes two requests the same.
func fingerprintOf(method, uri string, body []byte) uint64 {
	digest := xxhash.New()
	// The digest never returns an error.
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString(" ")
	_, _ = digest.WriteString(uri)
	_, _ = digest.WriteString("\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// forwardedHeaders returns the caller's headers for the upstream.
func forwardedHeaders(r *http.Request) []*peerv1.Header {
	all := upstream.EndToEnd(r.Header)
	kept := all[:0]
	forwardedFor := ""
	for _, h := range all {
		switch {
		case h.Name == "X-Forwarded-For":
			forwardedFor = h.Value + ", "
		case strings.HasPrefix(h.Name, headerPrefix), h.Name == "Content-Length":
		default:
			kept = append(kept, h)
		}
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		kept = append(kept, &peerv1.Header{Name: "X-Forwarded-For", Value: forwardedFor + host})
	}
	return kept
}

// validKey reports whether the value may be an idempotency key.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := 0; i < len(key); i++ {
		if key[i] < 0x20 || key[i] > 0x7e {
			return false
		}
	}
	return true
}
