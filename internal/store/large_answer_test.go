package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/iotest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/storev1"
)

// Guards against bytes that are lost or doubled where an answer of the store becomes a large one.
func TestLargeAnswerOfTheStoreIsWhole(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{0, 1, largeAnswerBytes - 100, largeAnswerBytes, largeAnswerBytes + 1, largeAnswerBytes + collectedBlockBytes, 5<<20 + 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			value := make([]byte, size)
			_, _ = random.Read(value)
			answer := marshalList(t, value)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				_, _ = w.Write(answer)
			}))
			defer server.Close()
			kvs, _, err := Dial(server.Listener.Addr().String(), nil).List(t.Context(), "config/")
			if err != nil || len(kvs) != 1 || !bytes.Equal(kvs[0].Value, value) {
				t.Errorf("%d entries, %v", len(kvs), err)
			}
		})
	}
}

// Guards against the part of a large answer that arrived before it broke off, taken for the whole.
func TestLargeAnswerThatBreaksOffIsAnError(t *testing.T) {
	broken := errors.New("broken")
	parts := io.MultiReader(bytes.NewReader(make([]byte, largeAnswerBytes+100)), iotest.ErrReader(broken))
	body := &collectedBody{Reader: parts}
	data, err := io.ReadAll(body)
	if len(data) != largeAnswerBytes || err != broken {
		t.Errorf("%d bytes, %v", len(data), err)
	}
	if n, err := body.Read(make([]byte, 1)); n != 0 || err != broken {
		t.Errorf("read again: %d bytes, %v", n, err)
	}
}

func marshalList(t *testing.T, value []byte) []byte {
	t.Helper()
	answer, err := proto.Marshal(&storev1.ListResponse{Kvs: []*storev1.KeyValue{{Key: "config/a", Value: value}}, Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// Guards against large answers over a slow link that are given up, and requested again, while they arrive.
func TestLargeAnswerOfTheStoreThatArrivesSlowlyIsNotGivenUp(t *testing.T) {
	const parts, pause, silence = 8, 250 * time.Millisecond, time.Second
	for _, size := range []int{largeAnswerBytes / 2, 4 * largeAnswerBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			answer := marshalList(t, make([]byte, size))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				for part := range slices.Chunk(answer, len(answer)/parts) {
					_, _ = w.Write(part)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
			}))
			defer server.Close()
			ctx, cancel := WithProgressTimeout(t.Context(), silence, silence)
			defer cancel()
			kvs, _, err := Dial(server.Listener.Addr().String(), nil).List(ctx, "config/")
			if err != nil || len(kvs) != 1 || len(kvs[0].Value) != size {
				t.Errorf("%d entries, %v", len(kvs), err)
			}
		})
	}
}
