package declaration

import (
	"encoding/json"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// maxDocumentBytes is the size limit of the store for one value.
const maxDocumentBytes = 1 << 20

const (
	// maxTimeoutMS is a year. Much longer times overflow when they become durations.
	maxTimeoutMS = 365 * 24 * 60 * 60 * 1000
	// maxWeight bounds a weight, so that the sum of the weights is finite.
	maxWeight = 1e12
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate returns nil, or an error that names the invalid field and the values that are valid. An unsupported service may have any
// name, because nothing is sent to it.
func (s *Service) Validate() error {
	if err := s.validateFields(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		route := &s.Routes[i]
		if route.Unsupported != "" {
			continue
		}
		if err := route.validate(); err != nil {
			return errors.Wrapf(err, "service %s: route %q", s.Name, route.Path)
		}
		if seen[route.id()] {
			return errors.Wrapf(errDeclaredTwice(route), "service %s", s.Name)
		}
		seen[route.id()] = true
	}
	return nil
}

// validateFields validates everything but the routes.
func (s *Service) validateFields() error {
	if s.Unsupported == "" && !namePattern.MatchString(string(s.Name)) {
		return errors.Errorf("service name %q: use 1 to 63 lower-case letters, digits, '-' or '.'", shorten(string(s.Name)))
	}
	if s.FloorSlots < 0 {
		return errors.Errorf("service %s: floor %d slots: use 0 or more", s.Name, s.FloorSlots)
	}
	return errors.Wrapf(s.Policy.validate(), "service %s", s.Name)
}

// errDeclaredTwice returns the error of the second of two routes that match the same requests.
func errDeclaredTwice(r *Route) error {
	return errors.Errorf("route %q is declared twice for the same host and methods", r.Path)
}

// id identifies the requests that the route matches.
func (r *Route) id() string {
	return r.Host + " " + strings.Join(r.Methods, ",") + " " + r.Path
}

func (p Policy) validate() error {
	switch p.Preset {
	case "", PresetHuon, PresetDala:
	default:
		return errors.Errorf("policy %q: use %q or %q", p.Preset, PresetHuon, PresetDala)
	}
	if p.FalseAlarmRate < 0 || p.FalseAlarmRate >= 1 {
		return errors.Errorf("false alarm rate %g: use a number above 0 and below 1", p.FalseAlarmRate)
	}
	if p.FailureRate < 0 || p.FailureRate >= 1 {
		return errors.Errorf("failure rate %g: use a number above 0 and below 1", p.FailureRate)
	}
	return nil
}

// hasPath reports whether the route has a path that a request can match.
func (r *Route) hasPath() bool { return strings.HasPrefix(r.Path, "/") }

// isTimeout reports whether a timeout in milliseconds is valid.
func isTimeout(ms int64) bool { return ms >= 0 && ms <= maxTimeoutMS }

func (r *Route) validate() error {
	if !r.hasPath() {
		return errors.New("path: begin with '/'")
	}
	switch r.Class {
	case "", Idempotent, NonIdempotent:
	default:
		return errors.Errorf("class %q: use %q or %q", r.Class, Idempotent, NonIdempotent)
	}
	switch r.Priority {
	case "", Interactive, Bulk:
	default:
		return errors.Errorf("priority %q: use %q or %q", r.Priority, Interactive, Bulk)
	}
	for _, ms := range []int64{r.TimeoutMS, r.FirstByteMS, r.ObjectiveMS} {
		if !isTimeout(ms) {
			return errors.Errorf("timeout %d: use 0 to %d milliseconds", ms, int64(maxTimeoutMS))
		}
	}
	if r.Rank < 0 || r.MaxAttempts < 0 {
		return errors.New("rank and attempts: use 0 or more")
	}
	for _, share := range r.Split {
		// The comparison is false for NaN.
		if !(share.Weight >= 0 && share.Weight <= maxWeight) || share.Service == "" {
			return errors.Errorf("split: service %q with weight %g: use a name and a weight of 0 to %g", share.Service, share.Weight, maxWeight)
		}
	}
	if err := validateMethods(r.Methods); err != nil {
		return err
	}
	if err := validateRequirements(r.Requires); err != nil {
		return err
	}
	for _, status := range append(append([]int(nil), r.RetryStatuses...), r.FailStatuses...) {
		if status < 400 || status > 599 {
			return errors.Errorf("status %d: use 400 to 599", status)
		}
	}
	return nil
}

func validateMethods(methods []string) error {
	for _, method := range methods {
		if method == "" || strings.ToUpper(method) != method {
			return errors.Errorf("method %q: use upper-case letters", method)
		}
	}
	return nil
}

// Encode validates the service and returns its canonical JSON. Equal services have equal encodings.
func (s *Service) Encode() ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s", s.Name)
	}
	if len(data) > maxDocumentBytes {
		return nil, errors.Errorf("service %s: document of %d bytes is over the store's %d", s.Name, len(data), maxDocumentBytes)
	}
	return data, nil
}

// Decode parses and validates the canonical JSON of a service or a document. A field that this build does not know is an error.
func Decode(data []byte) (*Service, error) {
	d, err := DecodeDocument(data)
	if err != nil {
		return nil, err
	}
	return &d.Service, nil
}
