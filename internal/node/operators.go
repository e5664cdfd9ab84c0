package node

import (
	"expvar"
	"net/http"

	"github.com/sardinereach/sardinereach/internal/operator"
)

// metricsPath serves the metrics on the operators' listener.
const metricsPath = "/debug/vars"

// operatorHandler returns the handler of the operators' API and the metrics.
func (n *Node) operatorHandler() http.Handler {
	server := operator.NewServer(&fleet{Documents: operator.Documents{Store: n.store}, node: n}, operator.Options{
		Node: n.self.ID, Incarnation: n.self.Incarnation, Token: n.settings.Operators.Token,
		Events: n.log,
	})
	mux := http.NewServeMux()
	path, handler := server.Handler()
	mux.Handle(path, handler)
	mux.Handle("GET "+metricsPath, expvar.Handler())
	return mux
}
