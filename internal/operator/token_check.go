package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
)

const (
	tokenHeader = "Authorization"
	tokenPrefix = "Bearer "
)

// newTokenCheck returns an interceptor that admits only calls with the token, or all calls if the token is empty.
func newTokenCheck(token string, emit func(*events.Event, ...events.Field)) connect.UnaryInterceptorFunc {
	expected := sha256.Sum256([]byte(token))
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" && !hasToken(request, expected) {
				emit(events.OperatorDenied, events.OperationField(request.Spec().Procedure))
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the operators' token is missing or wrong"))
			}
			return next(ctx, request)
		}
	}
}

// hasToken reports whether the request has the expected token. It compares digests, so that the time of the comparison
// depends neither on the content nor on the length of the token.
func hasToken(request connect.AnyRequest, expected [sha256.Size]byte) bool {
	given, ok := strings.CutPrefix(request.Header().Get(tokenHeader), tokenPrefix)
	digest := sha256.Sum256([]byte(given))
	return ok && subtle.ConstantTimeCompare(digest[:], expected[:]) == 1
}
