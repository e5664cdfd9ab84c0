package fleettest

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// vmsPerNetwork is the number of VM addresses before the third octet changes.
const vmsPerNetwork = 200

// vmCount is the number of VM addresses that this process has allocated.
var vmCount atomic.Int64

// nextVMAddress returns a loopback address that no other fleet of this process uses. The second octet is derived from
// the process id, so concurrent test programs rarely share addresses; freeAddress finds a free port if they do.
func nextVMAddress() string {
	n := int(vmCount.Add(1)) - 1
	const octet = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%octet, n/vmsPerNetwork%octet, 1+n%vmsPerNetwork)
}

// allocatedAddresses is the set of host:port that this process has allocated. The kernel may return a port again after
// its listener is closed.
var allocatedAddresses sync.Map

// freeAddress returns host:port with a port that is free on the VM and was not allocated before. Outgoing connections
// on loopback come from 127.0.0.1, so they do not occupy the port before its process listens on it.
func freeAddress(vm string) (string, error) {
	for {
		address, err := unusedAddress(vm)
		if err != nil {
			return "", err
		}
		if _, taken := allocatedAddresses.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// unusedAddress returns an address with a port chosen by the kernel. A child process that is forked while the listener
// is open inherits it until exec, and the next listen on the address fails. The lock prevents forks during that time.
func unusedAddress(vm string) (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", net.JoinHostPort(vm, "0"))
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// FreeAddresses returns n free host:port addresses on a loopback address that nothing else uses.
func FreeAddresses(n int) ([]string, error) {
	vm := nextVMAddress()
	addresses := make([]string, 0, n)
	for range n {
		address, err := freeAddress(vm)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
