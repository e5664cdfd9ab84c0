package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/framing"
)

const (
	// maxAnswerBytes is the size limit of a response. The target table of the largest fleet fits into it.
	maxAnswerBytes = 64 << 20
	// answerGrace is the additional time for the transfer of a response after the timeout of the call.
	answerGrace = 5 * time.Second
)

// usageError is a command line error that is detected only when the client is created.
type usageError struct{ error }

// client returns an API client for the node given by -server.
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
	httpClient := &http.Client{
		Transport:     framing.RequireEnd(framing.RequireHead(transport)),
		CheckRedirect: framing.KeepRedirects,
		Timeout:       call.timeout + 2*answerGrace,
	}
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

// withToken returns an interceptor that adds the token to each request, unless it is empty.
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

// context returns the context of one call, with its timeout. With -wait the node may wait for the whole timeout before
// it responds, so the response gets additional time.
func (call *invocation) context() (context.Context, context.CancelFunc) {
	timeout := call.timeout
	if call.wait {
		timeout += answerGrace
	}
	return context.WithTimeout(context.Background(), timeout)
}

// reportError prints the error of a call and returns the exit code for it.
func (call *invocation) reportError(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return reportUsageError(call.stdio, err)
	}
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		call.printStderr("sardinereachctl: %v", err)
		return exitFailed
	}
	call.printStderr("sardinereachctl: %s", connectErr.Message())
	if !connect.IsWireError(err) && connectErr.Code() != connect.CodeResourceExhausted {
		return exitUnreachable
	}
	return exitCodeOf(connectErr.Code())
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
