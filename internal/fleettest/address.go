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

// lastVM counts the VM addresses that this process gave out.
var lastVM atomic.Int64

// nextVM returns a loopback address that no other fleet of this process uses. The second octet comes from the process
// id, so that test programs that run at the same time seldom share addresses; freeAddress finds a free port if they do.
func nextVM() string {
	n := int(lastVM.Add(1)) - 1
	const octet = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%octet, n/vmsPerNetwork%octet, 1+n%vmsPerNetwork)
}

// given holds the addresses that this process gave out. The kernel may offer a port again once it is closed.
var given sync.Map

// freeAddress returns host:port with a port that is free on the VM and was not given out before. Outgoing connections on
// loopback come from 127.0.0.1, so they do not take the port before its process listens on it.
func freeAddress(vm string) (string, error) {
	for {
		address, err := offeredAddress(vm)
		if err != nil {
			return "", err
		}
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}

// offeredAddress returns an address that the kernel offers. A child that is forked while the listener is open holds it
// until its exec, which makes the next listener at the address fail; the lock keeps forks out.
func offeredAddress(vm string) (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", net.JoinHostPort(vm, "0"))
	if err != nil {
		return "", errors.Wrap(err, "free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// FreeAddresses returns n times host:port on a loopback address of their own.
func FreeAddresses(n int) ([]string, error) {
	vm := nextVM()
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
