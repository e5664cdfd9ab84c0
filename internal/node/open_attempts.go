package node

import "sync"

// openAttempts counts the attempts in progress at other nodes, by the peer address of the node.
type openAttempts struct {
	mu        sync.Mutex
	byAddress map[string]int
}

func newOpenAttempts() *openAttempts { return &openAttempts{byAddress: make(map[string]int)} }

// begin counts an attempt until the returned function is called.
func (o *openAttempts) begin(address string) (end func()) {
	o.add(address, 1)
	return func() { o.add(address, -1) }
}

func (o *openAttempts) add(address string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byAddress[address] += n
	if o.byAddress[address] == 0 {
		delete(o.byAddress, address)
	}
}

// addresses returns the nodes at which attempts are in progress.
func (o *openAttempts) addresses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]string, 0, len(o.byAddress))
	for address := range o.byAddress {
		out = append(out, address)
	}
	return out
}
