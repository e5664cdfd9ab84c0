// Package node is the I/O layer of the daemon: listeners, goroutines and the control loop. Packages without I/O make the
// decisions. The request path reads these from immutable snapshots through atomic pointers.
package node
