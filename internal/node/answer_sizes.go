package node

import "sync"

// maxSizedRoutes bounds the routes whose answer sizes are kept.
const maxSizedRoutes = 1 << 14

// answerSizes keeps the usual size of the answers of each route, in bytes.
type answerSizes struct {
	mu     sync.Mutex
	routes map[string]int64
}

func newAnswerSizes() *answerSizes { return &answerSizes{routes: make(map[string]int64)} }

// add takes in the size of an answer.
func (s *answerSizes) add(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.routes[route]
	switch {
	case known:
		s.routes[route] = old + (bytes-old)/smoothing
	case len(s.routes) < maxSizedRoutes:
		s.routes[route] = bytes
	}
}

// of returns the usual size of an answer of the route, 0 if it is not known.
func (s *answerSizes) of(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes[route]
}
