// Package tour runs the scripted scenario that the examples share on a small fleet: traffic through all nodes, one
// upstream that is drained, one that is killed, and an operation that is sent twice. It prints a summary and returns an
// error if the fleet violated one of its guarantees.
package tour
