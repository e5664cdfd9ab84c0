package upstream

import (
	"net/http"
	"slices"
)

// declaresNotRun reports whether the upstream declared that it did not run the request. An upstream never runs a request
// that is addressed to another instance, and responds with status 421 instead.
func (c *Client) declaresNotRun(res *http.Response) bool {
	if c.dialect.InstanceHeader != "" && res.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	declaration, ok := singleValue(res.Header, c.dialect.NotRunHeader)
	return ok && declaration == "1"
}

// mayBelongToOtherRequest reports whether the response echoes the ID of a request other than req, or lacks an echo that shows to
// which request it belongs.
func (c *Client) mayBelongToOtherRequest(req *http.Request, res *http.Response, reused bool) bool {
	name := c.dialect.EchoHeader
	if name == "" {
		return false
	}
	echo, ok := singleValue(res.Header, name)
	if !ok {
		return true
	}
	if echo == "" && c.dialect.EchoOptional {
		return reused
	}
	return echo != req.Header.Get(name)
}

// singleValue returns the value of a header, "" if it is absent. It returns false if the header has different values.
func singleValue(header http.Header, name string) (string, bool) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", true
	}
	differs := func(value string) bool { return value != values[0] }
	return values[0], !slices.ContainsFunc(values, differs)
}

// lacksSignature reports whether the response lacks the upstream's signature, if the dialect requires one.
func (c *Client) lacksSignature(res *http.Response) bool {
	name := c.dialect.SignatureHeader
	return name != "" && res.Header.Get(name) == ""
}
