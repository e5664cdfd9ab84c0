// Package quota divides the rate limits of client accounts among the nodes of a fleet. Each node owns one part of every limit and
// lends it, for a limited time, to the node that distributes permits for the account, which may be itself. The package is pure: it
// does no I/O and takes the time from its callers. Its types are not safe for concurrent use.
package quota
