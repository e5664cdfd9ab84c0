package loadexchange

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// testNode is a node with an Exchange on a loopback socket.
type testNode struct {
	conn       net.PacketConn
	peers      membership.LoadReceivers
	localLoads map[model.TargetID]model.TargetLoad

	mu               sync.Mutex
	received         map[model.TargetID]model.TargetLoad
	failedOperations []string
}

func newTestNode(t *testing.T, localLoads map[model.TargetID]model.TargetLoad) *testNode {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{conn: conn, localLoads: localLoads, received: make(map[model.TargetID]model.TargetLoad)}
}

func (n *testNode) address() string { return n.conn.LocalAddr().String() }

func (n *testNode) start(t *testing.T) {
	started := time.Now()
	x := New(Options{
		Conn: n.conn, Now: func() time.Duration { return time.Since(started) },
		LocalLoads: func() map[model.TargetID]model.TargetLoad {
			loads := make(map[model.TargetID]model.TargetLoad)
			for id, load := range n.localLoads {
				load.At = time.Since(started)
				loads[id] = load
			}
			return loads
		},
		Peers: func() membership.LoadReceivers { return n.peers },
		OnLoad: func(id model.TargetID, load model.TargetLoad) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.received[id] = load
		},
		OnBytes: func(string, bool, int) {},
		OnError: func(operation, _ string, _ error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.failedOperations = append(n.failedOperations, operation)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (n *testNode) hasReceived(id model.TargetID, want model.TargetLoad) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	got, ok := n.received[id]
	got.At = 0
	return ok && got == want
}

func (n *testNode) hasFailed(operation string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.failedOperations {
		if f == operation {
			return true
		}
	}
	return false
}

// await polls for the condition. The limit only ends a run that hangs.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// Guards against the load of a target that does not reach every node of another domain, is modified on the way, or loops
// between domains. Also guards against a malformed datagram that stops the exchange.
func TestLoadsReachOtherDomains(t *testing.T) {
	load := model.TargetLoad{Free: 1, Wait: 70 * time.Millisecond, RequiredSuccesses: 2}
	sender, source := newTestNode(t, nil), newTestNode(t, map[model.TargetID]model.TargetLoad{"a2": load})
	receiver, other := newTestNode(t, map[model.TargetID]model.TargetLoad{"b1": {Free: 3}}), newTestNode(t, nil)
	sender.peers = membership.LoadReceivers{
		Neighbors: []string{source.address()}, Domains: []membership.DomainReceiver{{Address: receiver.address()}},
	}
	source.peers = membership.LoadReceivers{Neighbors: []string{sender.address()}}
	receiver.peers = membership.LoadReceivers{
		Neighbors: []string{other.address()}, Domains: []membership.DomainReceiver{{Address: sender.address()}},
	}
	other.peers = membership.LoadReceivers{Neighbors: []string{receiver.address()}}
	for _, n := range []*testNode{sender, source, receiver, other} {
		n.start(t)
	}
	if _, err := other.conn.WriteTo([]byte("\xff\xff"), receiver.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	await(t, "the error for the malformed datagram", func() bool { return receiver.hasFailed("decode") })
	await(t, "the load at a neighbor of the receiver", func() bool { return other.hasReceived("a2", load) })
	await(t, "the load in the other direction", func() bool { return source.hasReceived("b1", model.TargetLoad{Free: 3}) })
	if sender.hasReceived("a2", load) != true || source.hasReceived("a2", load) {
		t.Error("want the load of a2 at the sender, and not sent back to its source")
	}
}

// Guards against a datagram that makes the exchange panic, or that yields a load with a time in the future.
func FuzzDatagram(f *testing.F) {
	valid, err := proto.Marshal(&peerv1.LoadDigest{Entries: []*peerv1.LoadEntry{{Target: "a", Free: 1, AgeMs: -5}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte("\xff"))
	const now = time.Minute
	f.Fuzz(func(t *testing.T, datagram []byte) {
		x := New(Options{
			Now:   func() time.Duration { return now },
			Peers: func() membership.LoadReceivers { return membership.LoadReceivers{} },
			OnLoad: func(_ model.TargetID, load model.TargetLoad) {
				if load.At > now {
					t.Errorf("load %+v is from the future", load)
				}
			},
			OnError: func(string, string, error) {},
		})
		x.handleDatagram(datagram, "127.0.0.1:1")
	})
}
