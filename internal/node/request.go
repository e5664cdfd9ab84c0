package node

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/callerconn"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/framing"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Headers of callers' requests.
const (
	headerKey    = "Idempotency-Key"
	headerTicket = "Sardinereach-Ticket"

	maxKeyBytes = 200
)

// request is a request that was accepted and read.
type request struct {
	match *routing.Match
	// service runs the request. It is the service of the route, or the one chosen by the route's traffic split.
	service model.ServiceName
	class   declaration.Class
	// head is the template of the heads of its attempts.
	head *peerv1.ForwardHead
	body []byte
	// access is the decision on the access of the request, nil if another node has made it.
	access *requestAccess
	// permit is that of the quota of its account, if limited is the account.
	permit  quota.Permit
	limited *declaration.Account
	// started is the arrival time of the request.
	started  time.Time
	deadline time.Time
	// operation is the fingerprint that a key or ticket is bound to.
	operation uint64
	rng       *rand.Rand
}

func (rq *request) idempotent() bool { return rq.class == declaration.Idempotent }

func (rq *request) remaining() time.Duration { return time.Until(rq.deadline) }

// newRequest returns the request without its body, and an error with it if it is refused.
func (a *acceptor) newRequest(r *http.Request, view *core.View, match *routing.Match, seed uint64) (*request, *verdict.Error) {
	rq := &request{
		match: match, service: match.Service.Name, class: match.Route.ClassOf(r.Method),
		started: time.Now(), rng: rand.New(rand.NewPCG(seed, 0)), head: &peerv1.ForwardHead{Route: match.Route.Path},
	}
	if len(match.Route.Split) > 0 {
		rq.service = declaration.Pick(match.Route.Split, rq.rng.Float64())
	}
	id, err := a.requestID(r)
	if err != nil {
		return rq, err
	}
	rq.head.RequestId = id
	rq.access, err = a.newRequestAccess(r, view, match, id)
	return rq, err
}

// readRequest reads the rest of the request with its complete body.
func (a *acceptor) readRequest(w http.ResponseWriter, r *http.Request, rq *request) *verdict.Error {
	route := rq.match.Route
	timeout, err := a.timeoutOf(r, route)
	if err != nil {
		return err
	}
	rq.deadline = rq.started.Add(a.endsWithParent(rq, timeout))
	rq.body, err = readBody(w, r, a.limits.MaxBodyBytes, rq.deadline)
	if err != nil {
		return err
	}
	uri := requestURI(r)
	rq.operation = operationFingerprint(rq.access.decision.AccountName(), r.Method, uri, rq.body)
	identity := requestIdentity{host: route.Host, caller: a.callerOf(), method: r.Method, uri: uri, body: rq.body, account: rq.access.decision.AccountName()}
	rq.head = &peerv1.ForwardHead{
		Service:       string(rq.service),
		Idempotent:    rq.idempotent(),
		Method:        r.Method,
		Uri:           uri,
		Host:          r.Host,
		Headers:       a.forwardedHeaders(r, rq.head.RequestId),
		RequestId:     rq.head.RequestId,
		Fingerprint:   uint64(identity.fingerprint()),
		ContentLength: int64(len(rq.body)),
		Route:         route.Path,
		Bulk:          route.Priority == declaration.Bulk,
	}
	applyAccess(rq.head, route, rq.access.decision)
	rq.head.OfRepeat = a.admitter.isRetryRunning(a.parentID(rq.head.RequestId))
	rq.head.FirstByteMs = orDefault(route.FirstByteMS, declaration.DefaultFirstByteMS)
	return nil
}

// errRequestIDs means that a request has several request IDs, so that it is not clear which one an upstream would take.
var errRequestIDs = errors.New("node: the request has different request IDs")

// requestID returns the request ID set by the caller, "" if there is none.
func (a *acceptor) requestID(r *http.Request) (string, *verdict.Error) {
	values := headers.Values(r.Header, a.dialect.RequestIDHeader)
	if len(values) == 0 {
		return "", nil
	}
	for _, value := range values {
		if value != values[0] {
			return "", verdict.Refused(verdict.BadRequest, errRequestIDs)
		}
	}
	return values[0], nil
}

// parentID returns the ID of the request whose run made the nested request with the given ID. It returns "" if the
// request is not nested.
func (a *acceptor) parentID(id string) string {
	if a.dialect.CallSeparator == "" {
		return ""
	}
	parent, _, found := strings.Cut(id, a.dialect.CallSeparator)
	if !found {
		return ""
	}
	return parent
}

// objective returns the latency objective, counted from the arrival of the request. A route without one uses the time
// until the deadline.
func (rq *request) objective() time.Duration {
	if rq.match.Route.ObjectiveMS > 0 {
		return time.Duration(rq.match.Route.ObjectiveMS) * time.Millisecond
	}
	return rq.deadline.Sub(rq.started)
}

func orDefault(value, fallback int64) int64 {
	if value == 0 {
		return fallback
	}
	return value
}

// timeoutOf returns the timeout of the route, or that of the caller if it is shorter.
func (a *acceptor) timeoutOf(r *http.Request, route *declaration.Route) (time.Duration, *verdict.Error) {
	timeout := route.Timeout()
	value := r.Header.Get(a.dialect.TimeoutHeader)
	if value == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0, verdict.Refused(verdict.BadRequest, errors.Wrap(err, a.dialect.TimeoutHeader))
	}
	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}

// Errors of requests of HTTP/1.0 whose end is not known.
var (
	errNoLength  = errors.New("node: a request of HTTP/1.0 has no length")
	errUnseenEnd = errors.New("node: a request of HTTP/1.0 has a transfer encoding, or is not the first one of its connection")
)

// readBody reads the complete body. A caller that has not sent it by the deadline loses its connection.
func readBody(w http.ResponseWriter, r *http.Request, maxBody int64, deadline time.Time) ([]byte, *verdict.Error) {
	if framing.LacksLength(r) {
		return nil, verdict.Refused(verdict.BodyIncomplete, errNoLength)
	}
	if conn := callerconn.FromContext(r.Context()); conn != nil && !conn.KnowsEnd(r) {
		return nil, verdict.Refused(verdict.BodyIncomplete, errUnseenEnd)
	}
	if r.ContentLength > maxBody {
		return nil, verdict.Refused(verdict.BodyTooLarge, nil)
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// Only connections in tests have no deadlines. Slow callers are no concern there.
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

// callerOf returns the service on whose behalf the node accepts requests, "" if upstreams are not told.
func (a *acceptor) callerOf() model.ServiceName {
	if a.dialect.CallerServiceHeader == "" {
		return ""
	}
	return a.callerService
}

// operationFingerprint returns a hash of account, method, URI and body, to which an idempotency key or ticket is bound. It is stored
// with the key, so it must stay the same in later builds. A key belongs to one service.
func operationFingerprint(account model.AccountName, method, uri string, body []byte) uint64 {
	digest := xxhash.New()
	if account != "" {
		// No method begins with this byte, so that no request without an account gives the same bytes.
		_, _ = digest.WriteString("\x00")
		writeLength(digest, len(account))
		_, _ = digest.WriteString(string(account))
	}
	// The digest never returns an error.
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString(" ")
	_, _ = digest.WriteString(uri)
	_, _ = digest.WriteString("\n")
	_, _ = digest.Write(body)
	return digest.Sum64()
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
