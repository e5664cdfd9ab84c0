package operator

import (
	"net/http"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/events"
)

// Server implements the operators' API on top of a Fleet.
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

// Handler returns the path prefix and the HTTP handler of the API, with the token check and the size limits.
func (s *Server) Handler() (string, http.Handler) {
	return operatorv1.NewOperatorHandler(s,
		connect.WithInterceptors(newTokenCheck(s.options.Token, s.emit)),
		connect.WithReadMaxBytes(s.options.MaxRequestBytes),
	)
}

// emit writes an event if the options contain an event log.
func (s *Server) emit(event *events.Event, fields ...events.Field) {
	if s.options.Events != nil {
		s.options.Events.Emit(event, fields...)
	}
}
