package upstream

import (
	"net/http"
	"slices"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// notRun reports whether the upstream declared that it did not run the request. An upstream that is not the instance
// that was asked for never runs it.
func (c *Client) notRun(res *http.Response) bool {
	if c.dialect.InstanceHeader != "" && res.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return res.Header.Get(c.dialect.NotRunHeader) == "1"
}

// isForeign reports whether the answer names another request than the one that it follows.
func (c *Client) isForeign(req *http.Request, res *http.Response) bool {
	name := c.dialect.EchoHeader
	return name != "" && res.Header.Get(name) != req.Header.Get(name)
}

// isUnsigned reports whether the signature of the upstream lacks.
func (c *Client) isUnsigned(res *http.Response) bool {
	name := c.dialect.SignatureHeader
	return name != "" && res.Header.Get(name) == ""
}

// answerHeaders returns the headers of the answer that are passed on.
func (c *Client) answerHeaders(header http.Header) []*peerv1.Header {
	headers := EndToEnd(header)
	if c.dialect.LoadHeader == "" {
		return headers
	}
	return slices.DeleteFunc(headers, func(h *peerv1.Header) bool { return h.Name == c.dialect.LoadHeader })
}
