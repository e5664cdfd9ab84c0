// Package access decides whether a request may run, and for which client account. It is pure.
package access
