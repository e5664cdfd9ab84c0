package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

const (
	// maxAnswerBytes bounds an answer; the targets of the largest fleet fit.
	maxAnswerBytes = 64 << 20
	// answerGrace is the time that the transfer of an answer gets beyond the time for the call.
	answerGrace = 5 * time.Second
)

// usageError is a fault of the command line that shows only when the client is made.
type usageError struct{ error }

// client returns a client of the node that the options name.
func (call *invocation) client() (operatorv1.OperatorClient, error) {
	if call.server == "" {
		return nil, usageError{errors.New("-server is missing")}
	}
	token, err := call.token()
	if err != nil {
		return nil, usageError{err}
	}
	base := call.server
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true}
	httpClient := &http.Client{Transport: transport, Timeout: call.timeout + 2*answerGrace}
	return operatorv1.NewOperatorClient(httpClient, base,
		connect.WithInterceptors(withToken(token)),
		connect.WithReadMaxBytes(maxAnswerBytes),
	), nil
}

func (call *invocation) token() (string, error) {
	if call.tokenFile == "" {
		return "", nil
	}
	text, err := call.read(call.tokenFile)
	return strings.TrimSpace(text), errors.Wrap(err, "-token-file")
}

// withToken returns an interceptor that presents the token.
func withToken(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				request.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, request)
		}
	}
}

// context bounds one call. An apply that waits gets time for its answer after the wait.
func (call *invocation) context() (context.Context, context.CancelFunc) {
	timeout := call.timeout
	if call.wait {
		timeout += answerGrace
	}
	return context.WithTimeout(context.Background(), timeout)
}

// fail reports the error of a call and returns its exit code.
func (call *invocation) fail(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return usageFault(call.stdio, err)
	}
	var answer *connect.Error
	if !errors.As(err, &answer) {
		call.complain("sardinereachctl: %v", err)
		return exitFailed
	}
	call.complain("sardinereachctl: %s", answer.Message())
	if !connect.IsWireError(err) && answer.Code() != connect.CodeResourceExhausted {
		return exitUnreachable
	}
	return exitCodeOf(answer.Code())
}

func exitCodeOf(code connect.Code) int {
	switch code {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeAborted:
		return exitConflict
	}
	return exitFailed
}
