package fakestore

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/store"
)

// handler implements the storev1 service with a Store.
type handler struct{ store *Store }

// Handler returns the HTTP handler that serves s over connect. If a call is refused because the store is down, or its
// response is lost, the handler closes the connection without a response.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(storev1.NewStoreHandler(&handler{store: s}, connect.WithInterceptors(abortOnNoResponse())))
	return mux
}

// abortOnNoResponse closes the connection of a call that gets no response.
func abortOnNoResponse() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			response, err := next(ctx, request)
			if hasNoResponse(err) {
				panic(http.ErrAbortHandler)
			}
			return response, err
		}
	})
}

func hasNoResponse(err error) bool {
	if errors.Is(err, errRateLimited) {
		return false
	}
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome)
}

// wireError maps errors to the codes of the protocol.
func wireError(err error) error {
	switch {
	case errors.Is(err, errInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, store.ErrLeaseLapsed):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, errRateLimited):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return err
	}
}

func (h *handler) Get(
	ctx context.Context, request *connect.Request[storev1.GetRequest],
) (*connect.Response[storev1.GetResponse], error) {
	kv, err := h.store.Get(ctx, request.Msg.Key)
	if errors.Is(err, store.ErrNotFound) {
		return connect.NewResponse(&storev1.GetResponse{Revision: h.store.Revision()}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.GetResponse{Kv: kvMessage(kv), Revision: h.store.Revision()}), nil
}

func (h *handler) List(
	ctx context.Context, request *connect.Request[storev1.ListRequest],
) (*connect.Response[storev1.ListResponse], error) {
	kvs, revision, err := h.store.List(ctx, request.Msg.Prefix)
	if err != nil {
		return nil, wireError(err)
	}
	response := &storev1.ListResponse{Revision: revision}
	for _, kv := range kvs {
		response.Kvs = append(response.Kvs, kvMessage(kv))
	}
	return connect.NewResponse(response), nil
}

func (h *handler) CompareAndSwap(
	ctx context.Context, request *connect.Request[storev1.CompareAndSwapRequest],
) (*connect.Response[storev1.CompareAndSwapResponse], error) {
	m := request.Msg
	kv, err := h.store.CompareAndSwap(ctx, m.Key, m.ExpectRevision, m.Value, store.LeaseID(m.LeaseId))
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewResponse(&storev1.CompareAndSwapResponse{Kv: conflictMessage(conflict)}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.CompareAndSwapResponse{
		Swapped: true, Kv: kvMessage(kv), Revision: kv.Revision,
	}), nil
}

func (h *handler) CompareAndDelete(
	ctx context.Context, request *connect.Request[storev1.CompareAndDeleteRequest],
) (*connect.Response[storev1.CompareAndDeleteResponse], error) {
	err := h.store.CompareAndDelete(ctx, request.Msg.Key, request.Msg.ExpectRevision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewResponse(&storev1.CompareAndDeleteResponse{Kv: conflictMessage(conflict)}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.CompareAndDeleteResponse{Deleted: true, Revision: h.store.Revision()}), nil
}

func (h *handler) GrantLease(
	ctx context.Context, request *connect.Request[storev1.GrantLeaseRequest],
) (*connect.Response[storev1.GrantLeaseResponse], error) {
	id, err := h.store.GrantLease(ctx, milliseconds(request.Msg.TtlMs))
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.GrantLeaseResponse{LeaseId: int64(id)}), nil
}

func (h *handler) KeepAlive(
	ctx context.Context, request *connect.Request[storev1.KeepAliveRequest],
) (*connect.Response[storev1.KeepAliveResponse], error) {
	err := h.store.KeepAlive(ctx, store.LeaseID(request.Msg.LeaseId))
	if errors.Is(err, store.ErrLeaseLapsed) {
		return connect.NewResponse(&storev1.KeepAliveResponse{}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.KeepAliveResponse{Alive: true}), nil
}

func (h *handler) RevokeLease(
	ctx context.Context, request *connect.Request[storev1.RevokeLeaseRequest],
) (*connect.Response[storev1.RevokeLeaseResponse], error) {
	if err := h.store.RevokeLease(ctx, store.LeaseID(request.Msg.LeaseId)); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&storev1.RevokeLeaseResponse{}), nil
}

func (h *handler) Watch(
	ctx context.Context, request *connect.Request[storev1.WatchRequest],
) (*connect.Response[storev1.WatchResponse], error) {
	m := request.Msg
	changes, revision, err := h.store.Watch(ctx, m.Prefix, m.AfterRevision, milliseconds(m.WaitMs))
	if errors.Is(err, store.ErrCompacted) {
		return connect.NewResponse(&storev1.WatchResponse{Compacted: true}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	response := &storev1.WatchResponse{Revision: revision}
	for _, change := range changes {
		response.Changes = append(response.Changes, changeMessage(change))
	}
	return connect.NewResponse(response), nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
