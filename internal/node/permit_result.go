package node

import (
	"github.com/sardinereach/sardinereach/internal/quota"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// permitResult ends the wait of a request.
type permitResult struct {
	permit quota.Permit
	err    *verdict.Error
}
