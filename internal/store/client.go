package store

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/storev1"
)

// client is a Store that calls the platform's key-value service.
type client struct {
	rpc       storev1.StoreClient
	observe   func(kind string)
	transport *http.Transport
}

// Close closes the idle connections.
func (c *client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Get implements Store.
func (c *client) Get(ctx context.Context, key string) (KV, error) {
	c.observe(KindGet)
	response, err := c.rpc.Get(ctx, connect.NewRequest(&storev1.GetRequest{Key: key}))
	if err != nil {
		return KV{}, readError(err)
	}
	if response.Msg.Kv == nil {
		return KV{}, ErrNotFound
	}
	return kvOf(response.Msg.Kv), nil
}

// List implements Store.
func (c *client) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	c.observe(KindList)
	response, err := c.rpc.List(ctx, connect.NewRequest(&storev1.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, 0, readError(err)
	}
	kvs := make([]KV, 0, len(response.Msg.Kvs))
	for _, kv := range response.Msg.Kvs {
		kvs = append(kvs, kvOf(kv))
	}
	return kvs, response.Msg.Revision, nil
}

// CompareAndSwap implements Store.
func (c *client) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (KV, error) {
	c.observe(KindCompareAndSwap)
	request := &storev1.CompareAndSwapRequest{Key: key, ExpectRevision: expect, Value: value, LeaseId: int64(lease)}
	response, err := c.rpc.CompareAndSwap(ctx, connect.NewRequest(request))
	if err != nil {
		return KV{}, writeError(err)
	}
	if !response.Msg.Swapped {
		return KV{}, conflictOf(response.Msg.Kv)
	}
	return kvOf(response.Msg.Kv), nil
}

// CompareAndDelete implements Store.
func (c *client) CompareAndDelete(ctx context.Context, key string, expect int64) error {
	c.observe(KindCompareAndDelete)
	request := &storev1.CompareAndDeleteRequest{Key: key, ExpectRevision: expect}
	response, err := c.rpc.CompareAndDelete(ctx, connect.NewRequest(request))
	if err != nil {
		return writeError(err)
	}
	if !response.Msg.Deleted {
		return conflictOf(response.Msg.Kv)
	}
	return nil
}

// GrantLease implements Store.
func (c *client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.observe(KindGrantLease)
	response, err := c.rpc.GrantLease(ctx, connect.NewRequest(&storev1.GrantLeaseRequest{TtlMs: ttl.Milliseconds()}))
	if err != nil {
		return 0, writeError(err)
	}
	return LeaseID(response.Msg.LeaseId), nil
}

// KeepAlive implements Store.
func (c *client) KeepAlive(ctx context.Context, lease LeaseID) error {
	c.observe(KindKeepAlive)
	response, err := c.rpc.KeepAlive(ctx, connect.NewRequest(&storev1.KeepAliveRequest{LeaseId: int64(lease)}))
	if err != nil {
		return writeError(err)
	}
	if !response.Msg.Alive {
		return ErrLeaseLapsed
	}
	return nil
}

// RevokeLease implements Store.
func (c *client) RevokeLease(ctx context.Context, lease LeaseID) error {
	c.observe(KindRevokeLease)
	_, err := c.rpc.RevokeLease(ctx, connect.NewRequest(&storev1.RevokeLeaseRequest{LeaseId: int64(lease)}))
	return writeError(err)
}

// Watch implements Store.
func (c *client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error) {
	c.observe(KindWatch)
	request := &storev1.WatchRequest{Prefix: prefix, AfterRevision: after, WaitMs: wait.Milliseconds()}
	response, err := c.rpc.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, 0, readError(err)
	}
	if response.Msg.Compacted {
		return nil, 0, ErrCompacted
	}
	return changesOf(response.Msg.Changes), response.Msg.Revision, nil
}

// Ping implements Store.
func (c *client) Ping(ctx context.Context, key string) error {
	c.observe(KindPing)
	if _, err := c.rpc.Get(ctx, connect.NewRequest(&storev1.GetRequest{Key: key})); err != nil {
		return readError(err)
	}
	return nil
}
