package tour

// nodeCounters holds the sums of the counters of all nodes.
type nodeCounters struct {
	retries  reasonCounts
	refusals reasonCounts
}

// reasonCounts maps each reason to its count.
type reasonCounts map[string]int

func (t reasonCounts) add(values map[string]int64) {
	for name, value := range values {
		t[name] += int(value)
	}
}

// since returns the increase of the counts since earlier.
func (t reasonCounts) since(earlier reasonCounts) reasonCounts {
	difference := reasonCounts{}
	for name, value := range t {
		difference[name] = value - earlier[name]
	}
	return difference
}
