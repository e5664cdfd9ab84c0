package node

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/headers"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Paths that the node serves itself instead of forwarding.
const (
	nodePathPrefix = "/_sardinereach/"
	ticketPath     = nodePathPrefix + "ticket"
	healthPath     = nodePathPrefix + "health"
)

// bodyDrainTimeout is the time allowed to read the rest of the request body before a refusal is sent.
const bodyDrainTimeout = time.Second

// writeGrace is the time after the deadline in which the response or the error may still be written.
const writeGrace = time.Second

// acceptor receives callers' requests and is responsible for their outcomes. It is the only layer that retries.
type acceptor struct {
	self    model.Node
	clock   clock
	limits  settings.Limits
	dialect dialect.Caller
	// headers says which headers of callers are passed on.
	headers *headers.Rules
	// callerService is sent to upstreams as the origin of the requests that this node accepts.
	callerService model.ServiceName
	// retryStatuses are the statuses retried on idempotent routes that list none of their own.
	retryStatuses []int
	view          atomic.Pointer[core.View]
	earlierRuns   earlierRuns
	ready         func() bool
	// stopping means that new requests are refused, also those whose body is complete only now.
	stopping atomic.Bool
	// cutoff is the time at which open requests receive their final response during a shutdown.
	cutoff *shutdownCutoff
	// lameDuck means that the node still serves requests but fails health checks, so that load balancers stop using it.
	lameDuck atomic.Bool

	peers *peer.Client
	// openAttempts are the attempts in progress at other nodes.
	openAttempts *openAttempts
	admitter     *admitter
	paths        *paths
	regionLink   *linkBudget
	budgets      *budgets
	// answerSizes are the average response sizes in bytes, attemptDurations the average times from the admission request
	// to the complete response.
	answerSizes      *routeAverages[int64]
	attemptDurations *routeAverages[time.Duration]
	once             *onceRunner
	// quotas limits the requests of client accounts. It is nil in tests without limits.
	quotas  *quotas
	metrics *metrics.Metrics
	log     *events.Log
	// pathChanged is called when this node starts or stops avoiding another node.
	pathChanged func()

	// callFailures separates failures of the local upstream from failures of the calls that it makes.
	callFailures callFailures

	inFlight atomic.Int64
	serial   atomic.Uint64
	seed     uint64
}

// setView makes the view the one of new requests and attempts.
func (a *acceptor) setView(view *core.View) {
	a.earlierRuns.observe(view.Table)
	a.view.Store(view)
}

// ServeHTTP implements http.Handler for the callers' listener.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Only the first request of HTTP/1.0 on a connection is known to be whole.
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, nodePathPrefix) {
		a.serveNodePath(w, r)
		return
	}
	a.metrics.RequestStarted()
	defer a.metrics.RequestEnded()
	defer a.inFlight.Add(-1)
	if a.inFlight.Add(1) > int64(a.limits.MaxRequests) {
		a.refuse(w, nil, verdict.Refused(verdict.Overloaded, nil))
		return
	}
	started := time.Now()
	control := http.NewResponseController(w)
	// The write deadline of an earlier request on the connection must not apply to this one.
	_ = control.SetWriteDeadline(time.Time{})
	rq, err := a.read(w, r)
	if err != nil {
		a.refuse(w, rq, err)
		return
	}
	// A caller that stops reading must not occupy an upstream slot beyond the deadline of the request.
	_ = control.SetWriteDeadline(rq.deadline.Add(writeGrace))
	r, stop := watchCaller(r)
	defer stop()
	ctx, release := a.cutoff.bind(r.Context(), rq.deadline)
	defer release()
	r = r.WithContext(ctx)
	if refusal := a.takePermit(ctx, rq); refusal != nil {
		a.refuse(w, rq, refusal)
		return
	}
	a.serve(w, r, rq)
	a.metrics.Latency(rq.service, time.Since(started))
}

// read checks that the node accepts requests, matches the route and reads the request. A request that is refused is returned as far
// as it is known. One without access is refused before its body is read.
func (a *acceptor) read(w http.ResponseWriter, r *http.Request) (*request, *verdict.Error) {
	if a.stopping.Load() {
		return nil, verdict.Refused(verdict.NodeStopping, nil)
	}
	if !a.ready() {
		return nil, verdict.Refused(verdict.NotReady, nil)
	}
	if r.Method == http.MethodConnect {
		return nil, verdict.Refused(verdict.BadRequest, errTunnel)
	}
	view := a.view.Load()
	match := view.Table.Match(r.Host, r.Method, routing.PathOf(requestURI(r)))
	if match == nil {
		return nil, verdict.Refused(verdict.NoRoute, nil)
	}
	if err := match.Refusal(); err != nil {
		return nil, err
	}
	rq, err := a.newRequest(r, view, match, a.seed^a.serial.Add(1))
	if err == nil {
		err = a.readRequest(w, r, rq)
	}
	if err == nil && (a.stopping.Load() || a.outlastsShutdown(rq)) {
		err = verdict.Refused(verdict.NodeStopping, nil)
	}
	return rq, err
}

// serve responds to the caller. If an attempt fails after part of the response was sent, serve aborts the connection,
// so that the caller cannot mistake a truncated response for a complete one.
func (a *acceptor) serve(w http.ResponseWriter, r *http.Request, rq *request) {
	sink := &httpSink{w: w}
	var err *verdict.Error
	var out *delivery
	if rq.idempotent() {
		out = newDelivery(sink, idempotentBufferBytes)
		out.unmodifiedHead = !a.dialect.SardinereachHeaders
		err = a.serveWhileConnected(r.Context(), rq, out)
	} else {
		out = newDelivery(sink, nonIdempotentBufferBytes)
		err = a.serveNonIdempotent(r, rq, out)
	}
	err = cutoffOutcome(r.Context(), err)
	a.logRequest(rq, out, err)
	if err != nil || out.status() >= http.StatusInternalServerError {
		a.callFailures.record(a.clock.now())
	}
	if err == nil {
		return
	}
	if err.Verdict == verdict.NotRun {
		a.returnPermit(rq)
	}
	if out.committed {
		a.recordFailure(rq, err)
		abortResponse(r)
	}
	a.refuse(w, rq, err)
}

// logRequest logs the final outcome of a request.
func (a *acceptor) logRequest(rq *request, out *delivery, err *verdict.Error) {
	outcome, status := verdict.Ran.String(), out.status()
	if err != nil {
		outcome = err.Verdict.String() + " " + string(err.Reason)
		if !out.committed {
			status = statusOf(err)
		}
	}
	fields := []events.Field{events.RequestField(rq.head.RequestId), events.ServiceField(rq.service),
		events.RouteField(rq.match.Route.Path), events.TextOutcomeField(outcome), events.StatusField(status),
		events.DurationField(time.Since(rq.started)), events.CutoffField(a.cutoff.left()), events.RevisionField(a.view.Load().Revision)}
	a.log.Emit(events.RequestEnded, append(fields, accessFields(rq)...)...)
}

// serveNonIdempotent runs the request at most once. In a dialect with operations callers use a new ID for each request
// and need no idempotency key: an attempt is retried only if it did not run.
func (a *acceptor) serveNonIdempotent(r *http.Request, rq *request, out *delivery) *verdict.Error {
	if !a.dialect.UniqueRequestIDs {
		return a.once.serve(r, rq, out)
	}
	out.unmodifiedHead = !a.dialect.SardinereachHeaders
	return a.serveWhileConnected(r.Context(), rq, out)
}

// serveWhileConnected serves a request and cancels it when the caller disconnects.
func (a *acceptor) serveWhileConnected(ctx context.Context, rq *request, out *delivery) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	if err := a.serveWithRetries(ctx, rq, openGate{}, out); err != nil {
		return err
	}
	return commitError(out.commit())
}

// cutoffOutcome returns the outcome of a request that may have been ended by the cutoff of a shutdown instead of by its
// caller.
func cutoffOutcome(ctx context.Context, err *verdict.Error) *verdict.Error {
	if err == nil || !errors.Is(context.Cause(ctx), errShutdownCutoff) {
		return err
	}
	if err.Verdict == verdict.NotRun {
		return verdict.Refused(verdict.NodeStopping, errShutdownCutoff)
	}
	return verdict.Uncertain(verdict.ShutdownCutoff, errShutdownCutoff)
}

// commitError classifies a failure to write the response to the caller.
func commitError(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	return verdict.Uncertain(verdict.CallerCancelled, err)
}

// refuse sends an error response for a request without an upstream response.
func (a *acceptor) refuse(w http.ResponseWriter, rq *request, err *verdict.Error) {
	a.recordFailure(rq, err)
	control := http.NewResponseController(w)
	// The HTTP server reads the rest of the request body before it sends the response.
	_ = control.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	// The time in which the response may be written runs from now: this node may be late itself.
	_ = control.SetWriteDeadline(time.Now().Add(bodyDrainTimeout + writeGrace))
	a.writeError(w, err)
}

// recordFailure counts and logs a request without a complete response. rq is nil if the request was not read.
func (a *acceptor) recordFailure(rq *request, err *verdict.Error) {
	handling := events.Refused
	if err.Verdict == verdict.NotRun {
		a.metrics.Refused(err.Reason)
	} else {
		handling = events.Failed
		a.metrics.Failed(err.Reason)
	}
	fields := []events.Field{events.OutcomeField(handling)}
	if rq != nil {
		fields = append(fields, events.RequestField(rq.head.RequestId), events.ServiceField(rq.service))
		fields = append(fields, accessFields(rq)...)
	}
	if err.Cause != nil {
		fields = append(fields, events.CauseField(err.Cause))
	}
	a.log.Emit(events.ForReason(err.Reason), fields...)
}

// serveNodePath serves the paths of the node itself.
func (a *acceptor) serveNodePath(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == healthPath && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		a.serveHealth(w)
	case r.URL.Path == ticketPath && r.Method == http.MethodPost:
		a.once.serveTicket(w)
	default:
		http.NotFound(w, r)
	}
}

// serveHealthOnly serves the listener that is dedicated to health checks. It ignores the path.
func (a *acceptor) serveHealthOnly(w http.ResponseWriter, _ *http.Request) { a.serveHealth(w) }

func (a *acceptor) serveHealth(w http.ResponseWriter) {
	switch {
	case a.lameDuck.Load() || a.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// newAttemptID returns an attempt ID that is unique within this incarnation.
func (a *acceptor) newAttemptID() model.AttemptID {
	return model.NewAttemptID(a.self.ID, a.self.Incarnation, a.serial.Add(1))
}

// forwardLocal runs an attempt at a local target without a peer connection.
func (a *acceptor) forwardLocal(ctx context.Context, head *peerv1.ForwardHead, body []byte, out peer.Sink) *peerv1.AnswerTrailer {
	head.Incarnation = uint64(a.self.Incarnation)
	head.AdmitBeforeMs = (a.clock.now() + maxLocalAdmitAhead).Milliseconds()
	if !head.Idempotent {
		return a.runLocalOnce(ctx, head, body, out)
	}
	return a.admitter.run(ctx, head, peer.Bytes(body), out)
}

// maxLocalAdmitAhead is the time after dispatch until which an attempt at a local target may be admitted.
const maxLocalAdmitAhead = 20 * time.Second
