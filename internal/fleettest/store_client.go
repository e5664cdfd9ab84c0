package fleettest

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/storev1"
)

func (s *Store) client() storev1.StoreClient {
	return storev1.NewStoreClient(http.DefaultClient, "http://"+s.address)
}

// waitReachable waits until the store responds.
func (s *Store) waitReachable(ctx context.Context) error {
	return Poll(ctx, "the store", func(ctx context.Context) error {
		_, err := s.Keys(ctx, "config/")
		return err
	})
}

// create writes a new key. It returns an error if the key exists.
func (s *Store) create(ctx context.Context, key string, value []byte) error {
	request := connect.NewRequest(&storev1.CompareAndSwapRequest{Key: key, Value: value})
	response, err := s.client().CompareAndSwap(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "store: %s", key)
	}
	if !response.Msg.Swapped {
		return errors.Errorf("store: %s exists", key)
	}
	return nil
}

// Keys returns the keys with the prefix.
func (s *Store) Keys(ctx context.Context, prefix string) ([]string, error) {
	response, err := s.client().List(ctx, connect.NewRequest(&storev1.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, errors.Wrapf(err, "store: %s", prefix)
	}
	var keys []string
	for _, kv := range response.Msg.Kvs {
		keys = append(keys, kv.Key)
	}
	return keys, nil
}
