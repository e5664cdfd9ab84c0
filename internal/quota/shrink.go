package quota

// maxShrinks is the number of decreases that a distributor remembers one by one.
const maxShrinks = 32

// shrink is a decrease of the holding of a distributor, at the given share-seconds.
type shrink struct {
	holding      holding
	shareSeconds float64
}
