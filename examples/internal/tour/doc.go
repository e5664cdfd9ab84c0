// Package tour takes a small fleet through a day: traffic through all nodes, an operation sent twice, a drained and a
// killed upstream. It prints what happened and fails if a promise did not hold. The examples share it.
package tour
