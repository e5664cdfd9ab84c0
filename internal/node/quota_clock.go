package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quota"
)

// quotaClock returns the reading in a message.
func quotaClock(message *peerv1.QuotaClock) quota.ClockReading {
	return quota.ClockReading{
		Incarnation: model.Incarnation(message.GetIncarnation()), At: time.Duration(message.GetClockMs()) * time.Millisecond,
	}
}

// quotaClockMessage returns the message with the reading, rounded down, so that no loan ends later for it.
func quotaClockMessage(reading quota.ClockReading) *peerv1.QuotaClock {
	return &peerv1.QuotaClock{Incarnation: uint64(reading.Incarnation), ClockMs: reading.At.Milliseconds()}
}
