package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Paths that the node answers itself.
const (
	ownPrefix  = "/_sardinereach/"
	ticketPath = ownPrefix + "ticket"
	healthPath = ownPrefix + "health"
)

// drainTime is how long a refusal waits for the rest of the request's body.
const drainTime = time.Second

// writeGrace is the time after the deadline in which the answer, or the failure, may still be written.
const writeGrace = time.Second

// acceptor takes callers' requests and is responsible for their outcomes. It is the only layer that retries.
type acceptor struct {
	self    model.Node
	clock   clock
	limits  settings.Limits
	dialect dialect.Caller
	// callerService is told upstreams as the origin of the requests that this node accepts.
	callerService model.ServiceName
	// retryStatuses are retried on idempotent routes that name none.
	retryStatuses []int
	view          atomic.Pointer[core.View]
	ready         func() bool
	stopping      atomic.Bool
	// lameDuck means that the node still serves but callers' load balancers should leave it.
	lameDuck atomic.Bool

	peers    *peer.Client
	admitter *admitter
	paths    *paths
	link     *linkBudget
	budgets  *budgets
	// sizes are the usual sizes of answers in bytes, times the usual times from asking a target to the whole answer.
	sizes   *routeAverages[int64]
	times   *routeAverages[time.Duration]
	once    *onceRunner
	metrics *metrics.Metrics
	log     *events.Log
	// pathChanged is called when a node begins or ceases to be avoided.
	pathChanged func()

	// callFailures tells failures of the upstream beside the node from those of its calls.
	callFailures callFailures

	inFlight atomic.Int64
	serial   atomic.Uint64
	seed     uint64
}

// ServeHTTP implements http.Handler for the callers' listener.
func (a *acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, ownPrefix) {
		a.serveOwn(w, r)
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
	// The deadline of an earlier request on the connection must not end this one.
	_ = control.SetWriteDeadline(time.Time{})
	rq, err := a.read(w, r)
	if err != nil {
		a.refuse(w, nil, err)
		return
	}
	// A caller that stops reading holds a slot of the upstream no longer than the request may last.
	_ = control.SetWriteDeadline(rq.deadline.Add(writeGrace))
	a.serve(w, r, rq)
	a.metrics.Latency(rq.service, time.Since(started))
}

// read checks whether the node may take the request, finds its route and reads it.
func (a *acceptor) read(w http.ResponseWriter, r *http.Request) (*request, *verdict.Error) {
	if a.stopping.Load() {
		return nil, verdict.Refused(verdict.NodeStopping, nil)
	}
	if !a.ready() {
		return nil, verdict.Refused(verdict.NotReady, nil)
	}
	view := a.view.Load()
	match := view.Table.Match(hostOf(r.Host), r.Method, r.URL.Path)
	if match == nil {
		return nil, verdict.Refused(verdict.NoRoute, nil)
	}
	return a.readRequest(w, r, match, a.seed^a.serial.Add(1))
}

func hostOf(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

// serve answers the caller. A failure after a part of the answer was passed on breaks the connection, so that the
// caller cannot take the part for the whole.
func (a *acceptor) serve(w http.ResponseWriter, r *http.Request, rq *request) {
	sink := &httpSink{w: w}
	var err *verdict.Error
	var out *delivery
	if rq.idempotent() {
		out = newDelivery(sink, idempotentHoldBytes)
		out.asIs = !a.dialect.OwnHeaders
		err = a.serveOnce(r.Context(), rq, out)
	} else {
		out = newDelivery(sink, onceHoldBytes)
		err = a.serveNonIdempotent(r, rq, out)
	}
	a.logRequest(rq, out, err)
	if err != nil || out.status() >= http.StatusInternalServerError {
		a.callFailures.note(a.clock.now())
	}
	if err == nil {
		return
	}
	if out.committed {
		a.count(rq, err)
		panic(http.ErrAbortHandler)
	}
	a.refuse(w, rq, err)
}

// logRequest logs the final answer to a request.
func (a *acceptor) logRequest(rq *request, out *delivery, err *verdict.Error) {
	outcome, status := verdict.Ran.String(), out.status()
	if err != nil {
		outcome = err.Verdict.String() + " " + string(err.Reason)
		if !out.committed {
			status = statusOf(err)
		}
	}
	a.log.Emit(events.RequestEnded, events.RequestField(rq.head.RequestId), events.ServiceField(rq.service),
		events.RouteField(rq.match.Route.Path), events.TextOutcomeField(outcome), events.StatusField(status),
		events.DurationField(time.Since(rq.started)), events.RevisionField(a.view.Load().Revision))
}

// serveNonIdempotent runs the request at most once. A caller that names each request anew needs no key for that: an
// attempt is repeated only if it did not run.
func (a *acceptor) serveNonIdempotent(r *http.Request, rq *request, out *delivery) *verdict.Error {
	if !a.dialect.Operations {
		return a.once.serve(r, rq, out)
	}
	out.asIs = !a.dialect.OwnHeaders
	return a.serveOnce(r.Context(), rq, out)
}

// serveOnce serves a request for as long as its caller waits.
func (a *acceptor) serveOnce(ctx context.Context, rq *request, out *delivery) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
	defer cancel()
	if err := a.attempts(ctx, rq, openGate{}, out); err != nil {
		return err
	}
	return commitError(out.commit())
}

// commitError classifies a failure to pass an answer on to the caller.
func commitError(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	return verdict.Uncertain(verdict.CallerCancelled, err)
}

// refuse tells the caller that there is no answer.
func (a *acceptor) refuse(w http.ResponseWriter, rq *request, err *verdict.Error) {
	a.count(rq, err)
	// The server reads the rest of the body before it answers.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
	a.writeError(w, err)
}

func (a *acceptor) count(rq *request, err *verdict.Error) {
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
	}
	if err.Cause != nil {
		fields = append(fields, events.CauseField(err.Cause))
	}
	a.log.Emit(events.ForReason(err.Reason), fields...)
}

// serveOwn answers requests to the node itself.
func (a *acceptor) serveOwn(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == healthPath && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		a.serveHealth(w)
	case r.URL.Path == ticketPath && r.Method == http.MethodPost:
		a.once.serveTicket(w)
	default:
		http.NotFound(w, r)
	}
}

// serveHealthOnly answers on the listener for the health answer, whatever the path.
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

// nextAttempt returns an attempt ID that this incarnation has not used.
func (a *acceptor) nextAttempt() model.AttemptID {
	return model.NewAttemptID(a.self.ID, a.self.Incarnation, a.serial.Add(1))
}

// localForward runs an attempt at a target beside this node without a connection.
func (a *acceptor) localForward(ctx context.Context, head *peerv1.ForwardHead, body []byte, out peer.Sink) *peerv1.AnswerTrailer {
	head.Incarnation = uint64(a.self.Incarnation)
	head.AdmitBeforeMs = (a.clock.now() + maxLocalAdmitAhead).Milliseconds()
	trailer := a.admitter.run(ctx, head, peer.Bytes(body), out)
	if !head.Idempotent {
		a.admitter.acknowledgeResponse(head.Attempt)
	}
	return trailer
}

// maxLocalAdmitAhead is how far ahead the latest admission time of an attempt within the node is.
const maxLocalAdmitAhead = 20 * time.Second
