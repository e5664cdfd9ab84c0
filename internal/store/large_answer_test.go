package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
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
	body := &collectedBody{ReadCloser: io.NopCloser(parts), ctx: t.Context()}
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
	const parts, silence = 8, time.Second
	for _, size := range []int{largeAnswerBytes / 2, 4 * largeAnswerBytes} {
		for pause, whole := range map[time.Duration]bool{250 * time.Millisecond: true, 1100 * time.Millisecond: false} {
			t.Run(fmt.Sprintf("%d,%v", size, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					answer := marshalList(t, make([]byte, size))
					transport := slowTransport{parts: slices.Collect(slices.Chunk(answer, len(answer)/parts)), pause: pause}
					ctx, cancel := WithProgressTimeout(t.Context(), silence, silence)
					defer cancel()
					s := &client{rpc: newRPC("store", transport), observe: func(string) {}}
					kvs, _, err := s.List(ctx, "config/")
					if got := err == nil && len(kvs) == 1 && len(kvs[0].Value) == size; got != whole {
						t.Errorf("whole: %v, want %v; %d entries, %v", got, whole, len(kvs), err)
					}
				})
			})
		}
	}
}

// Guards against whole answers that are given up, and requested again, while a slow node decodes them.
func TestWholeAnswerOfTheStoreIsNotGivenUp(t *testing.T) {
	for _, size := range []int{1, largeAnswerBytes + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := WithProgressTimeout(t.Context(), time.Second, time.Second)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://store", nil)
				if err != nil {
					t.Fatal(err)
				}
				transport := collectLarge{newAnswerLimiter(slowTransport{parts: [][]byte{make([]byte, size)}}, maxAnswerBytes)}
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				if ctx.Err() != nil {
					t.Error("the call was given up although its answer was whole")
				}
			})
		})
	}
}

// Guards against a large answer that is given up, and requested again, because another one is being read.
func TestLargeAnswerThatWaitsForAnotherIsNotGivenUp(t *testing.T) {
	const silence = time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration
		whole bool
	}{
		{"the other one takes 8 s", 500 * time.Millisecond, true},
		{"the other one takes 80 s", 5 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				large := make(chan struct{}, 1)
				read := func(ctx context.Context, parts int, pause time.Duration) error {
					part := make([]byte, largeAnswerBytes/4)
					transport := slowTransport{parts: slices.Repeat([][]byte{part}, parts), pause: pause}
					limiter := &answerLimiter{next: transport, maxBytes: maxAnswerBytes, large: large}
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store", nil)
					if err != nil {
						return err
					}
					response, err := limiter.RoundTrip(request)
					if err != nil {
						return err
					}
					defer response.Body.Close()
					_, err = io.Copy(io.Discard, ProgressReader(ctx, response.Body))
					return err
				}
				var other sync.WaitGroup
				other.Go(func() {
					if err := read(t.Context(), 16, c.pause); err != nil {
						t.Error(err)
					}
				})
				time.Sleep(5*c.pause + time.Millisecond)
				ctx, cancel := WithProgressTimeout(t.Context(), silence, silence)
				defer cancel()
				start := time.Now()
				if err := read(ctx, 8, silence/4); (err == nil) != c.whole {
					t.Errorf("after %v: %v", time.Since(start), err)
				}
				if took := time.Since(start); took > 2*maxStalls*silence {
					t.Errorf("ended after %v", took)
				}
				other.Wait()
			})
		})
	}
}

// slowTransport answers with parts, with a pause before each.
type slowTransport struct {
	parts [][]byte
	pause time.Duration
}

// RoundTrip implements http.RoundTripper.
func (s slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body := &slowBody{ctx: request.Context(), parts: s.parts, pause: s.pause}
	header := http.Header{"Content-Type": {"application/proto"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(body), ContentLength: -1, Request: request}, nil
}

type slowBody struct {
	ctx   context.Context
	parts [][]byte
	pause time.Duration
	// part is what is left of the part that has arrived.
	part []byte
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.part) == 0 {
		if len(b.parts) == 0 {
			return 0, io.EOF
		}
		select {
		case <-time.After(b.pause):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
		b.part, b.parts = b.parts[0], b.parts[1:]
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}
