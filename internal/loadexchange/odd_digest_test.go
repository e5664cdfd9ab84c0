package loadexchange

import (
	"math"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// newIdleExchange returns an exchange that is not started. It passes received loads to onLoad and failures to onError.
func newIdleExchange(t testing.TB, peers membership.LoadReceivers, onLoad func(model.TargetLoad), onError func(operation, address string)) *Exchange {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return New(Options{
		Conn: conn, Now: func() time.Duration { return time.Hour },
		LocalLoads: func() map[model.TargetID]model.TargetLoad { return nil },
		Peers:      func() membership.LoadReceivers { return peers },
		OnLoad:     func(_ model.TargetID, load model.TargetLoad) { onLoad(load) },
		OnBytes:    func(string, bool, int) {},
		OnError:    func(operation, address string, _ error) { onError(operation, address) },
	})
}

// Guards against looking up a host name, which delays the digests of all other nodes, and against a panic on an address
// that is none.
func TestDigestsGoOnlyToAddresses(t *testing.T) {
	failed := make(map[string]bool)
	x := newIdleExchange(t, membership.LoadReceivers{}, func(model.TargetLoad) {}, func(operation, address string) { failed[operation+" "+address] = true })
	for _, address := range []string{"localhost:7000", "host.invalid:7000", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:http", "127.0.0.1", "", "\xff:1"} {
		x.write(address, new(peerv1.LoadDigest))
		if !failed["send "+address] {
			t.Errorf("a digest was sent to %q", address)
		}
	}
	x.write("127.0.0.1:7000", new(peerv1.LoadDigest))
	if failed["send 127.0.0.1:7000"] {
		t.Error("no digest was sent to 127.0.0.1:7000")
	}
}

// Guards against a load with negative numbers, which would make a target preferred to all others.
func TestLoadsAreNotNegative(t *testing.T) {
	for _, n := range []int32{math.MinInt32, -1, 0, 1, math.MaxInt32} {
		var got model.TargetLoad
		x := newIdleExchange(t, membership.LoadReceivers{}, func(load model.TargetLoad) { got = load }, func(string, string) {})
		x.applyDigest(&peerv1.LoadDigest{Entries: []*peerv1.LoadEntry{{Target: "t", Free: n, WaitMs: n, Doubt: n, AgeMs: n}}})
		if got.Free < 0 || got.Wait < 0 || got.RequiredSuccesses < 0 || got.At > time.Hour {
			t.Errorf("%d: %+v", n, got)
		}
	}
}

// Guards against a panic on a datagram of another sender.
func FuzzHandleDatagram(f *testing.F) {
	sound, err := proto.Marshal(&peerv1.LoadDigest{
		Scope: peerv1.LoadScope_LOAD_SCOPE_OTHER_DOMAIN, Entries: []*peerv1.LoadEntry{{Target: "t", Free: 1, WaitMs: 2, Doubt: 3, AgeMs: 4}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add([]byte{})
	f.Add([]byte("\xff\xff\xff\xff\xff"))
	x := newIdleExchange(f, membership.LoadReceivers{}, func(model.TargetLoad) {}, func(string, string) {})
	f.Fuzz(func(_ *testing.T, datagram []byte) { x.handleDatagram(datagram, "127.0.0.1:1") })
}
