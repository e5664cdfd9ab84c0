// Package node is the I/O layer of the daemon: listeners, threads, and the control loop. Decisions are made by the pure
// packages; the request path reads them from immutable snapshots through atomic pointers.
package node
