package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

func (s *Server) forbid(ctx context.Context, ask *statement.Forbid) (string, error) {
	_, err := s.repeat(ctx, func() error { return s.fleet.Forbid(ctx, ask.Fingerprint) })
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("request %s is forbidden; each node refuses it as soon as it learns of it", ask.Fingerprint), nil
}

func (s *Server) release(ctx context.Context, ask *statement.Release) (string, error) {
	err := s.end(ctx, func() error { return s.fleet.Release(ctx, ask.Fingerprint) })
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("quarantined request", ask.Fingerprint, s.fingerprints())
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("request %s is released", ask.Fingerprint), nil
}

func (s *Server) withdraw(ctx context.Context, ask *statement.Withdraw) (string, error) {
	err := s.end(ctx, func() error { return s.fleet.WithdrawEjection(ctx, ask.Target) })
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("ejected target", string(ask.Target), s.ejected())
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("the ejection of target %s is withdrawn", ask.Target), nil
}

// end removes an entry. An entry that is absent after a lost answer was removed by the call whose answer was lost.
func (s *Server) end(ctx context.Context, call func() error) error {
	uncertain, err := s.repeat(ctx, call)
	if uncertain && errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

func (s *Server) fingerprints() []string {
	var known []string
	for _, entry := range s.fleet.Snapshot().Quarantine {
		known = append(known, entry.Fingerprint)
	}
	return known
}

func (s *Server) ejected() []string {
	var known []string
	for _, ejection := range s.fleet.Snapshot().Ejections {
		known = append(known, string(ejection.Target))
	}
	return known
}
