package upstream

import "github.com/pkg/errors"

// ErrRepeat is the error of a valid call that must not be acknowledged. The upstream has to send it again.
var ErrRepeat = errors.New("the call is not acknowledged; repeat it")
