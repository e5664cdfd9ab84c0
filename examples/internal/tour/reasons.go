package tour

// reasons holds the counters of all nodes by reason.
type reasons struct {
	retries  tallies
	refusals tallies
}

// tallies are counts by reason.
type tallies map[string]int

func (t tallies) add(values map[string]int64) {
	for name, value := range values {
		t[name] += int(value)
	}
}

// since returns what was counted after earlier.
func (t tallies) since(earlier tallies) tallies {
	difference := tallies{}
	for name, value := range t {
		difference[name] = value - earlier[name]
	}
	return difference
}
