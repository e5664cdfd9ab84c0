// Package relay forwards TCP connections on loopback for tests. It can drop all bytes in one direction, blackhole the
// connections that are open, refuse new ones, delay bytes and limit their rate. It never changes or reorders bytes.
package relay
