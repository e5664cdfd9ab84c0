package fakestore

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// lease is a granted lease with the keys bound to it.
type lease struct {
	id    store.LeaseID
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}
