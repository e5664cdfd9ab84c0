package store

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/storev1"
	"github.com/sardinereach/sardinereach/internal/endlesstest"
)

func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func encoded(t *testing.T, m proto.Message) string {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// protoHead begins the head of an answer; further lines and an empty one follow.
const protoHead = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"

// Guards against a list, a watch or a write that is believed although the connection ended within its answer.
func TestCutAnswersAreFailures(t *testing.T) {
	list := encoded(t, &storev1.ListResponse{Kvs: []*storev1.KeyValue{{Key: "config/a", ModRevision: 3}, {Key: "config/b", ModRevision: 4}}, Revision: 9})
	first := encoded(t, &storev1.ListResponse{Kvs: []*storev1.KeyValue{{Key: "config/a", ModRevision: 3}}})
	for name, answer := range map[string]string{
		"no length":           protoHead + "\r\n" + first,
		"no length, HTTP/1.0": "HTTP/1.0 200 OK\r\nContent-Type: application/proto\r\n\r\n" + first,
		"no length, no bytes": protoHead + "\r\n",
		"length":              protoHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(list)) + first,
		"chunks":              protoHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(first), first),
		"two lengths":         protoHead + fmt.Sprintf("Content-Length: %d\r\nContent-Length: %d\r\n\r\n", len(list), len(first)) + first,
	} {
		t.Run(name, func(t *testing.T) {
			client := Dial(endlesstest.Answer(t, answer), nil)
			ctx := callContext(t)
			if kvs, revision, err := client.List(ctx, "config/"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("list: %d keys at %d, %v; want unavailable", len(kvs), revision, err)
			}
			if changes, revision, err := client.Watch(ctx, "config/", 5, 0); !errors.Is(err, ErrUnavailable) {
				t.Errorf("watch: %d changes up to %d, %v; want unavailable", len(changes), revision, err)
			}
			if kv, err := client.Get(ctx, "config/a"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("get: %v, %v; want unavailable", kv, err)
			}
			if _, err := client.CompareAndSwap(ctx, "config/a", 3, nil, 0); !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("swap: %v, want an unknown outcome", err)
			}
			if err := client.RevokeLease(ctx, 5); !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("revoke: %v, want an unknown outcome", err)
			}
		})
	}
}

// Guards against whole answers that are refused because of the way in which they show their length.
func TestWholeAnswersAreBelieved(t *testing.T) {
	list := encoded(t, &storev1.ListResponse{Kvs: []*storev1.KeyValue{{Key: "config/a", ModRevision: 3}}, Revision: 9})
	length := fmt.Sprintf("Content-Length: %d\r\n", len(list))
	for name, answer := range map[string]string{
		"length":             protoHead + length + "\r\n" + list,
		"equal lengths":      protoHead + length + length + "\r\n" + list,
		"chunks":             protoHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(list), list),
		"informational head": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + protoHead + length + "\r\n" + list,
	} {
		kvs, revision, err := Dial(endlesstest.Answer(t, answer), nil).List(callContext(t), "config/")
		if err != nil || len(kvs) != 1 || revision != 9 {
			t.Errorf("%s: %d keys at %d, %v", name, len(kvs), revision, err)
		}
	}
}
