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

// testNode is one node of the exchange on a loopback socket.
type testNode struct {
	conn     net.PacketConn
	partners membership.LoadReceivers
	own      map[model.TargetID]model.TargetLoad

	mu      sync.Mutex
	learned map[model.TargetID]model.TargetLoad
	failed  []string
}

func newTestNode(t *testing.T, own map[model.TargetID]model.TargetLoad) *testNode {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &testNode{conn: conn, own: own, learned: make(map[model.TargetID]model.TargetLoad)}
}

func (n *testNode) address() string { return n.conn.LocalAddr().String() }

func (n *testNode) start(t *testing.T) {
	began := time.Now()
	x := New(Options{
		Conn: n.conn, Now: func() time.Duration { return time.Since(began) },
		Own: func() map[model.TargetID]model.TargetLoad {
			loads := make(map[model.TargetID]model.TargetLoad)
			for id, load := range n.own {
				load.At = time.Since(began)
				loads[id] = load
			}
			return loads
		},
		Partners: func() membership.LoadReceivers { return n.partners },
		Learned: func(id model.TargetID, load model.TargetLoad) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.learned[id] = load
		},
		Count: func(string, bool, int) {},
		Failed: func(operation, _ string, _ error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.failed = append(n.failed, operation)
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

func (n *testNode) knows(id model.TargetID, want model.TargetLoad) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	got, ok := n.learned[id]
	got.At = 0
	return ok && got == want
}

func (n *testNode) hasFailed(operation string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.failed {
		if f == operation {
			return true
		}
	}
	return false
}

// await polls for the condition. The limit only ends a hanging run.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s did not come about", what)
}

// Guards against the load of a target that does not reach every node of another domain, is changed on the way, or goes round
// between domains; and against a datagram of a stranger that ends the exchange.
func TestLoadsReachOtherDomains(t *testing.T) {
	load := model.TargetLoad{Free: 1, Wait: 70 * time.Millisecond, Doubt: 2}
	sender, source := newTestNode(t, nil), newTestNode(t, map[model.TargetID]model.TargetLoad{"a2": load})
	receiver, other := newTestNode(t, map[model.TargetID]model.TargetLoad{"b1": {Free: 3}}), newTestNode(t, nil)
	sender.partners = membership.LoadReceivers{
		Neighbors: []string{source.address()}, Domains: []membership.DomainReceiver{{Address: receiver.address()}},
	}
	source.partners = membership.LoadReceivers{Neighbors: []string{sender.address()}}
	receiver.partners = membership.LoadReceivers{
		Neighbors: []string{other.address()}, Domains: []membership.DomainReceiver{{Address: sender.address()}},
	}
	other.partners = membership.LoadReceivers{Neighbors: []string{receiver.address()}}
	for _, n := range []*testNode{sender, source, receiver, other} {
		n.start(t)
	}
	if _, err := other.conn.WriteTo([]byte("\xff\xff"), receiver.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	await(t, "the report of the stranger's datagram", func() bool { return receiver.hasFailed("decode") })
	await(t, "the load at a neighbor of the receiver", func() bool { return other.knows("a2", load) })
	await(t, "the load in the other direction", func() bool { return source.knows("b1", model.TargetLoad{Free: 3}) })
	if sender.knows("a2", load) != true || source.knows("a2", load) {
		t.Error("the source was told of its own target")
	}
}

// Guards against a datagram that makes the exchange panic, or that tells of a load from the future.
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
			Now:      func() time.Duration { return now },
			Partners: func() membership.LoadReceivers { return membership.LoadReceivers{} },
			Learned: func(_ model.TargetID, load model.TargetLoad) {
				if load.At > now {
					t.Errorf("load %+v is from the future", load)
				}
			},
			Failed: func(string, string, error) {},
		})
		x.take(datagram, "127.0.0.1:1")
	})
}
