// Package loadexchange tells nodes how much room the targets of other nodes have. Each node sends the load of its targets to
// its neighbors in datagrams, and one node of each failure domain sends that of the whole domain to one node of each other
// domain, which passes it on. Without it a request would ask for free slots at one target after the other, and between
// domains each refused ask costs hundreds of bytes that are paid for.
//
// The news are hints: a lost or old datagram costs a refused ask, and admission alone decides.
package loadexchange
