// Package capacity does the arithmetic for every removal of capacity from a service: ejection, drain, cold start,
// failed targets and missing announcements. The floor and all capacities are in slots. All functions are pure.
package capacity
