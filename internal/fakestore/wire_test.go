package fakestore_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// dialFake serves s on loopback. It returns a client, and the list to which the kind of each of its calls is appended.
func dialFake(t *testing.T, s *fakestore.Store) (store.Store, *[]string) {
	t.Helper()
	server := httptest.NewServer(fakestore.Handler(s))
	t.Cleanup(server.Close)
	var kinds []string
	client := store.Dial(server.Listener.Addr().String(), func(kind string) { kinds = append(kinds, kind) })
	return client, &kinds
}

// Guards against fields that the client or the handler does not map to the protocol.
func TestCallsOverTheWire(t *testing.T) {
	ctx := t.Context()
	client, kinds := dialFake(t, fakestore.New(fakestore.Options{}))
	if _, err := client.Get(ctx, "a"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get of a missing key: %v", err)
	}
	lease, err := client.GrantLease(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	created, err := client.CompareAndSwap(ctx, "a", 0, []byte("one"), lease)
	if err != nil || created.Revision != 1 || created.Lease != lease {
		t.Fatalf("create: %+v, %v", created, err)
	}
	_, err = client.CompareAndSwap(ctx, "a", 0, []byte("two"), 0)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || !conflict.Exists || string(conflict.Current.Value) != "one" {
		t.Fatalf("create of an existing key: %v", err)
	}
	if err := client.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	kvs, revision, err := client.List(ctx, "a")
	if err != nil || len(kvs) != 1 || revision != 1 {
		t.Fatalf("list: %v at %d, %v", kvs, revision, err)
	}
	if err := client.RevokeLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	changes, revision, err := client.Watch(ctx, "a", 0, 0)
	if err != nil || len(changes) != 2 || revision != 2 || !changes[1].Deleted || changes[1].Revision != 2 {
		t.Fatalf("watch: %+v at %d, %v", changes, revision, err)
	}
	if err := client.CompareAndDelete(ctx, "a", 1); !errors.As(err, &conflict) || conflict.Exists {
		t.Fatalf("delete of a missing key: %v", err)
	}
	if err := client.KeepAlive(ctx, lease); !errors.Is(err, store.ErrLeaseLapsed) {
		t.Fatalf("renewal of an ended lease: %v", err)
	}
	if _, err := client.CompareAndSwap(ctx, "b", 0, nil, lease); !errors.Is(err, store.ErrLeaseLapsed) {
		t.Fatalf("swap with an ended lease: %v", err)
	}
	if len(*kinds) != 11 {
		t.Errorf("observed %d calls, want 11: %v", len(*kinds), *kinds)
	}
}

// Guards against a write that is reported as not executed although it may have taken effect.
func TestOutcomesOfWritesOverTheWire(t *testing.T) {
	ctx := t.Context()
	fake := fakestore.New(fakestore.Options{MaxValueBytes: 8})
	client, _ := dialFake(t, fake)

	fake.SetFaults(fakestore.Faults{LoseAnswers: 1})
	if _, err := client.CompareAndSwap(ctx, "lost", 0, nil, 0); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Errorf("lost response: %v", err)
	}
	if _, err := client.Get(ctx, "lost"); err != nil {
		t.Errorf("the write with the lost response did not take effect: %v", err)
	}

	fake.SetFaults(fakestore.Faults{Down: true})
	if _, err := client.CompareAndSwap(ctx, "down", 0, nil, 0); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Errorf("write to a store that closes the connection: %v", err)
	}
	if _, err := client.Get(ctx, "down"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("read from a store that is down: %v", err)
	}

	fake.SetFaults(fakestore.Faults{WritesPerSecond: 1})
	_, _ = client.CompareAndSwap(ctx, "limited", 0, nil, 0)
	if _, err := client.CompareAndSwap(ctx, "limited2", 0, nil, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("write over the rate limit: %v", err)
	}

	fake.SetFaults(fakestore.Faults{})
	_, err := client.CompareAndSwap(ctx, "large", 0, make([]byte, 9), 0)
	if err == nil || errors.Is(err, store.ErrUnknownOutcome) || errors.Is(err, store.ErrUnavailable) {
		t.Errorf("write of a value over the limit: %v", err)
	}

	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if _, err := client.CompareAndSwap(cancelled, "cancelled", 0, nil, 0); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled write: %v", err)
	}
}

// Guards against a refused connection that is reported as an unknown outcome although nothing was sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = store.Dial(address, nil).CompareAndSwap(t.Context(), "a", 0, nil, 0)
	if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownOutcome) {
		t.Errorf("write to a closed port: %v", err)
	}
}
