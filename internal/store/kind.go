package store

// Kinds of calls, as given to observers and used by counters.
const (
	KindGet              = "get"
	KindList             = "list"
	KindCompareAndSwap   = "compare_and_swap"
	KindCompareAndDelete = "compare_and_delete"
	KindGrantLease       = "grant_lease"
	KindKeepAlive        = "keep_alive"
	KindRevokeLease      = "revoke_lease"
	KindWatch            = "watch"
	KindPing             = "ping"
)

// Kinds returns every kind of call, in the order of the methods of Store.
func Kinds() []string {
	return []string{
		KindGet, KindList, KindCompareAndSwap, KindCompareAndDelete, KindGrantLease, KindKeepAlive, KindRevokeLease,
		KindWatch, KindPing,
	}
}
