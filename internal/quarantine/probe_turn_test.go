package quarantine

import "testing"

// Guards against claims of one probe whose number grows with the fleet, and against a node that always comes first.
func TestFewNodesClaimBesideTheFirst(t *testing.T) {
	const probes, callShare = 300, 0.01
	for _, nodes := range []uint64{1, 10, 100, 1_000, probeClaimants} {
		claims, firsts := 0, map[uint64]bool{}
		for number := range probes {
			first, early := uint64(0), make([]float64, nodes)
			for node := range nodes {
				early[node] = probeTurn(7, ClaimedProbe{Number: number}, node)
				if early[node] < early[first] {
					first = node
				}
			}
			firsts[first] = true
			for _, turn := range early {
				if turn < 0 || turn > 1 {
					t.Fatalf("turn %g", turn)
				}
				if turn <= early[first]+callShare {
					claims++
				}
			}
		}
		if mean := float64(claims) / probes; mean > 2 {
			t.Errorf("%d nodes: %.2f claims for a probe", nodes, mean)
		}
		if nodes > 1 && len(firsts) < 2 {
			t.Errorf("%d nodes: one is always the first", nodes)
		}
	}
}
