package node

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/plainhop"
)

// BenchmarkResponse measures responses that pass two nodes, and two plain hops for comparison. The bytes allocated include those of
// the caller and the upstream.
func BenchmarkResponse(b *testing.B) {
	upstreamAddress := startSizedUpstream(b)
	_, fleet := startTwoHops(b, upstreamAddress)
	plain := startPlainHop(b, startPlainHop(b, upstreamAddress))
	for _, size := range []int{64 << 10, 1 << 20, 64 << 20} {
		for _, path := range []struct{ name, address string }{{"fleet", fleet}, {"plain", plain}} {
			b.Run(fmt.Sprintf("%dKB/%s", size>>10, path.name), func(b *testing.B) {
				b.SetBytes(int64(size))
				b.ReportAllocs()
				for b.Loop() {
					if n, err := getSized(path.address, fmt.Sprintf("bytes=%d", size)); err != nil || n != int64(size) {
						b.Fatalf("%d bytes, %v", n, err)
					}
				}
			})
		}
	}
}

// startPlainHop serves a hop to the address and returns its own.
func startPlainHop(b *testing.B, next string) string {
	hop := plainhop.New(next)
	server := httptest.NewServer(hop)
	b.Cleanup(func() {
		server.Close()
		hop.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}
