package routing

import (
	"net/url"
	"strings"
)

// requestPath is the path of a request in the two readings that decide on its route.
type requestPath struct {
	// routed is the path with its percent-encoding removed, except that of "/" and "%". An encoded slash is data (RFC 3986,
	// section 2.2), so it ends no segment. This reading selects the route.
	routed string
	// merged is the path of an upstream that takes every character for a separator that some upstream does: encoded slashes
	// and backslashes end a segment, empty segments, "." and what follows ";" or "#" are left out.
	merged string
	// behindHost is merged without its first segment if some upstreams take that segment for a host, "" otherwise.
	behindHost string
	// ambiguity is errPathClimbs if a segment of merged is "..": where it leads depends on which separators an upstream takes. It is
	// errPathNotSendable if the path cannot be sent unchanged.
	ambiguity error
}

// PathOf returns the path of a request target as it was sent, without its query.
func PathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// parsePath returns the readings of a path that begins with a slash and is percent-encoded as sent. A "%" that encodes nothing
// stands for itself. It does not allocate for a path that has one reading only.
func parsePath(path string) requestPath {
	if hasOneReading(path) {
		return requestPath{routed: path, merged: path}
	}
	p := requestPath{routed: decodePath(path, true)}
	var climbs bool
	p.merged, climbs = mergeSegments(decodePath(path, false))
	if beginsLikeHost(path) {
		p.behindHost = withoutFirstSegment(p.merged)
	}
	switch {
	case climbs:
		p.ambiguity = errPathClimbs
	case strings.HasPrefix(path, "//") && !isProperlyEncoded(path):
		p.ambiguity = errPathNotSendable
	}
	return p
}

// beginsLikeHost reports whether a parser of references takes the first segment of the path for a host (RFC 3986, section 4.2). Some
// of them take a backslash for a slash.
func beginsLikeHost(path string) bool { return len(path) > 2 && (path[1] == '/' || path[1] == '\\') }

// withoutFirstSegment returns the path behind its first segment.
func withoutFirstSegment(path string) string {
	end := strings.IndexByte(path[1:], '/')
	if end < 0 {
		return "/"
	}
	return path[1+end:]
}

// isProperlyEncoded reports whether all characters that need an encoding have one, so that net/url writes the path as it was sent.
func isProperlyEncoded(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return false
	}
	u := url.URL{Path: decoded, RawPath: path}
	return u.EscapedPath() == path
}

// hasOneReading reports whether nothing in the path can be read in two ways.
func hasOneReading(path string) bool {
	for i := 0; i < len(path); i++ {
		switch path[i] {
		case '%', '\\', ';', '#':
			return false
		case '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		}
	}
	return true
}

// decodePath removes the percent-encoding. With keepData, slashes and percent signs that are data stay encoded.
func decodePath(path string, keepData bool) string {
	var out strings.Builder
	out.Grow(len(path))
	for i := 0; i < len(path); i++ {
		c, encoded := path[i], false
		if c == '%' && i+2 < len(path) && isHex(path[i+1]) && isHex(path[i+2]) {
			c, encoded = fromHex(path[i+1])<<4|fromHex(path[i+2]), true
			i += 2
		}
		switch {
		case keepData && c == '%':
			out.WriteString("%25")
		case keepData && encoded && c == '/':
			out.WriteString("%2F")
		default:
			out.WriteByte(c)
		}
	}
	return out.String()
}

// mergeSegments returns the decoded path without the segments and parts of segments that some upstreams leave out, and whether
// it has a segment "..".
func mergeSegments(path string) (merged string, climbs bool) {
	var out strings.Builder
	out.Grow(len(path) + 1)
	isSeparator := func(r rune) bool { return r == '/' || r == '\\' }
	for segment := range strings.FieldsFuncSeq(path, isSeparator) {
		if end := strings.IndexAny(segment, ";#"); end >= 0 {
			segment = segment[:end]
		}
		if segment == "" || segment == "." {
			continue
		}
		climbs = climbs || segment == ".."
		out.WriteByte('/')
		out.WriteString(segment)
	}
	if last := path[len(path)-1]; last == '/' || last == '\\' || out.Len() == 0 {
		out.WriteByte('/')
	}
	return out.String(), climbs
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// fromHex returns the value of a hexadecimal digit.
func fromHex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}
