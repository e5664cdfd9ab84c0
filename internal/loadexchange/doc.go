// Package loadexchange sends the free capacity of targets to other nodes. Each node sends the load of its local targets to
// its neighbors in datagrams. One node of each failure domain sends the load of the whole domain to one node of each other
// domain, which forwards it to its neighbors. Without load updates, a request would try one target after the other to find
// a free slot. Between domains, each refused admission request costs hundreds of bytes that are paid for.
//
// Load updates are hints. A lost or old datagram costs a refused admission request. Only the admission point decides.
package loadexchange
