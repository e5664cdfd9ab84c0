package upstream

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// setPathAndQuery sets what a request is sent for, so that the upstream receives exactly the caller's path and query. It returns an
// error if they cannot be sent unchanged.
func setPathAndQuery(u *url.URL, uri string) error {
	if !strings.HasPrefix(uri, "//") {
		// An opaque URL is sent unchanged.
		u.Opaque = uri
		return nil
	}
	// net/url writes the scheme before an opaque URL with two slashes, and the upstream would take the first segment for a host.
	path, query, hasQuery := strings.Cut(uri, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return errors.Wrap(err, "upstream: path")
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = decoded, path, query, hasQuery
	if u.RequestURI() != uri {
		return errors.New("upstream: the path cannot be sent unchanged")
	}
	return nil
}
