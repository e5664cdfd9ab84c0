// Package capacity computes the usable capacity of a service and enforces its capacity floor. It covers every way in which
// a service loses capacity: ejection, drain, cold start, failed targets and missing announcements. The floor and all
// capacities are in slots. All functions are pure.
package capacity
