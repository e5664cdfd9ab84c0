package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
)

// Server implements the operators' API over a Fleet.
type Server struct {
	fleet   Fleet
	options Options
	changes *changeIDs
}

var _ operatorv1.OperatorHandler = (*Server)(nil)

// NewServer returns a server for one incarnation of a node.
func NewServer(fleet Fleet, options Options) *Server {
	options = options.withDefaults()
	return &Server{fleet: fleet, options: options, changes: newChangeIDs(options.Node, options.Incarnation)}
}

// Handler returns the path prefix and the HTTP handler of the API, with the check of the token and the size limits.
func (s *Server) Handler() (string, http.Handler) {
	return operatorv1.NewOperatorHandler(s,
		connect.WithInterceptors(newTokenCheck(s.options.Token)),
		connect.WithReadMaxBytes(s.options.MaxRequestBytes),
	)
}

// Execute implements the API.
func (s *Server) Execute(ctx context.Context, request *connect.Request[operatorv1.ExecuteRequest]) (*connect.Response[operatorv1.ExecuteResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

// Apply implements the API.
func (s *Server) Apply(ctx context.Context, request *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}

// Export implements the API.
func (s *Server) Export(ctx context.Context, request *connect.Request[operatorv1.ExportRequest]) (*connect.Response[operatorv1.ExportResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, nil)
}
