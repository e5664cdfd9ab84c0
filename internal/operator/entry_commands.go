package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

func (s *Server) forbid(ctx context.Context, command *statement.Forbid) (string, error) {
	_, err := s.retryWrite(ctx, func() error { return s.fleet.Forbid(ctx, command.Fingerprint) })
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("request %s is forbidden; each node refuses it as soon as it learns of it", command.Fingerprint), nil
}

func (s *Server) release(ctx context.Context, command *statement.Release) (string, error) {
	err := s.removeEntry(ctx, func() error { return s.fleet.Release(ctx, command.Fingerprint) })
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("quarantined request", command.Fingerprint, s.quarantinedFingerprints())
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("request %s is released", command.Fingerprint), nil
}

func (s *Server) withdraw(ctx context.Context, command *statement.Withdraw) (string, error) {
	err := s.removeEntry(ctx, func() error { return s.fleet.WithdrawEjection(ctx, command.Target) })
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("ejected target", string(command.Target), s.ejectedTargetNames())
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("the ejection of target %s is withdrawn", command.Target), nil
}

// removeEntry runs a call that removes an entry, and retries it while the outcome is unknown. An entry that is absent on
// a retry was removed by the earlier call whose response was lost.
func (s *Server) removeEntry(ctx context.Context, call func() error) error {
	outcomeUnknown, err := s.retryWrite(ctx, call)
	if outcomeUnknown && errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

func (s *Server) quarantinedFingerprints() []string {
	var fingerprints []string
	for _, entry := range s.fleet.Snapshot().Quarantine {
		fingerprints = append(fingerprints, entry.Fingerprint)
	}
	return fingerprints
}

func (s *Server) ejectedTargetNames() []string {
	var names []string
	for _, ejection := range s.fleet.Snapshot().Ejections {
		names = append(names, string(ejection.Target))
	}
	return names
}
