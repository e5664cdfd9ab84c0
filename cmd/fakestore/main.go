// Command fakestore serves an in-memory replacement for the platform store, by default on loopback. An HTTP endpoint
// injects faults.
package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/sardinereach/sardinereach/internal/fakestore"
)

func main() {
	defaults := fakestore.DefaultOptions()
	var options fakestore.Options
	listen := flag.String("listen", "127.0.0.1:7070", "address of the store, host:port")
	control := flag.String("control", "", "address of the fault control, host:port; empty for none")
	flag.IntVar(&options.MaxKeys, "max-keys", defaults.MaxKeys, "greatest number of keys")
	flag.IntVar(&options.MaxValueBytes, "max-value-bytes", defaults.MaxValueBytes, "greatest size of a value in bytes")
	flag.IntVar(&options.MaxHistory, "max-history", defaults.MaxHistory, "number of changes kept for watches")
	flag.IntVar(&options.MaxLeases, "max-leases", defaults.MaxLeases, "greatest number of leases")
	flag.IntVar(&options.MaxWaitMS, "max-wait-ms", defaults.MaxWaitMS, "longest wait of a watch in milliseconds")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *listen, *control, fakestore.New(options)); err != nil {
		klog.ErrorS(err, "fakestore failed")
		os.Exit(1)
	}
}

// run serves the store until ctx ends, and the fault control too unless its address is empty.
func run(ctx context.Context, listen, control string, s *fakestore.Store) error {
	failures := make(chan error, 2)
	if err := serve(ctx, listen, fakestore.Handler(s), failures); err != nil {
		return err
	}
	if control != "" {
		if err := serve(ctx, control, fakestore.ControlHandler(s), failures); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	}
}

func serve(ctx context.Context, address string, handler http.Handler, failures chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	klog.InfoS("listening", "address", listener.Addr().String())
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { failures <- server.Serve(listener) }()
	return nil
}
