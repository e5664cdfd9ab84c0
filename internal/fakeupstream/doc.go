// Package fakeupstream is an upstream for tests and examples. It announces itself to its node, runs requests, drains
// and injects faults on command. It records each run of an operation before doing any work, so that a test counts
// duplicate runs at the upstream itself.
package fakeupstream
