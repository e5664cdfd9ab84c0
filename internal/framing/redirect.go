package framing

import "net/http"

// KeepRedirects is a CheckRedirect function of an http.Client that returns redirects as answers. A client that follows them takes
// what another address answers, and a failure there, for the outcome of its call.
func KeepRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
