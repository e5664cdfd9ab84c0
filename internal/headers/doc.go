// Package headers says for each header of a request or a response who may set it and what happens to it between caller, fleet
// and upstream. The rules are built from the dialects. The package is pure.
//
// Names are compared without regard to case, and "_" counts as "-", because some upstreams read both alike.
package headers
