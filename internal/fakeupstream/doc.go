// Package fakeupstream is an upstream for tests and examples. It announces itself to its node, runs requests, drains
// and fails on command. It records each run of an operation before doing any work, so that a test counts duplicates at
// the place where they would happen.
package fakeupstream
