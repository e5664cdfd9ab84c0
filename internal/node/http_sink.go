package node

import (
	"net/http"
	"strconv"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// httpSink writes a response to a caller.
type httpSink struct {
	w http.ResponseWriter
}

// Head implements peer.Sink.
func (s *httpSink) Head(head *peerv1.AnswerHead) error {
	header := s.w.Header()
	for _, h := range head.Headers {
		header[h.Name] = append(header[h.Name], h.Value)
	}
	if head.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(head.ContentLength, 10)}
	}
	s.w.WriteHeader(int(head.Status))
	return nil
}

// Body implements peer.Sink.
func (s *httpSink) Body(piece []byte) error {
	_, err := s.w.Write(piece)
	return err
}
