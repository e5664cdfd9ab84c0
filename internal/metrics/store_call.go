package metrics

// StoreCall is a kind of call to the platform store.
type StoreCall string

// Kinds of calls, one for each method of store.Store.
const (
	StoreGet              StoreCall = "get"
	StoreList             StoreCall = "list"
	StoreCompareAndSwap   StoreCall = "compare_and_swap"
	StoreCompareAndDelete StoreCall = "compare_and_delete"
	StoreGrantLease       StoreCall = "grant_lease"
	StoreKeepAlive        StoreCall = "keep_alive"
	StoreRevokeLease      StoreCall = "revoke_lease"
	StoreWatch            StoreCall = "watch"
	StorePing             StoreCall = "ping"
)

// StoreCalls returns every kind of call.
func StoreCalls() []StoreCall {
	return []StoreCall{
		StoreGet, StoreList, StoreCompareAndSwap, StoreCompareAndDelete, StoreGrantLease, StoreKeepAlive,
		StoreRevokeLease, StoreWatch, StorePing,
	}
}
