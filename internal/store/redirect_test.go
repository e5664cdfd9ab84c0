package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

// Guards against a redirect of the store whose destination is believed in its place, or receives a write a second time.
func TestRedirectsAreNotFollowed(t *testing.T) {
	answer := encoded(t, &storev1.CompareAndSwapResponse{Swapped: true})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write([]byte(answer))
	}))
	defer other.Close()
	for name, destination := range map[string]string{"answering": other.URL, "closed": "http://127.0.0.1:1"} {
		for _, status := range []string{"301 X", "302 X", "303 X", "307 X", "308 X"} {
			client := Dial(endlesstest.Answer(t, "HTTP/1.1 "+status+"\r\nLocation: "+destination+"/x\r\nContent-Length: 0\r\n\r\n"), nil)
			ctx := callContext(t)
			if err := client.Ping(ctx, "config/a"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("%s, %s: read: %v, want unavailable", name, status, err)
			}
			if _, err := client.CompareAndSwap(ctx, "config/a", 3, nil, 0); !errors.Is(err, ErrUnknownOutcome) || strings.Contains(err.Error(), "dial") {
				t.Errorf("%s, %s: write: %v, want an unknown outcome", name, status, err)
			}
		}
	}
}
