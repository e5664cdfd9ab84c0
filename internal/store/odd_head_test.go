package store

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

// Guards against a read, or the outcome of a write, that is believed although the head of the answer is broken.
func TestAnswersWithOddHeadsAreFailures(t *testing.T) {
	body := encoded(t, &storev1.CompareAndSwapResponse{Swapped: true})
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	refusal := `{"code":"resource_exhausted"}`
	for name, answer := range map[string]string{
		"status 000":         "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"status 600":         "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":    protoHead + length + "A B: c\r\n\r\n" + body,
		"blank after a name": protoHead + length + "A : c\r\n\r\n" + body,
		"blank after length": protoHead + "Content-Length : 1\r\n\r\n" + body,
		"refusal":            fmt.Sprintf("HTTP/1.1 429 Busy\r\nContent-Type: application/json\r\nContent-Length: %d\r\nA B: c\r\n\r\n%s", len(refusal), refusal),
		"refusal, status 999": fmt.Sprintf("HTTP/1.1 999 Busy\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(refusal), refusal),
	} {
		client := Dial(endlesstest.Answer(t, answer), nil)
		ctx := callContext(t)
		if err := client.Ping(ctx, "config/a"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: read: %v, want unavailable", name, err)
		}
		if _, err := client.CompareAndSwap(ctx, "config/a", 3, nil, 0); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("%s: write: %v, want an unknown outcome", name, err)
		}
	}
}
