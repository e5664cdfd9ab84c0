package fakestore

// Options are the limits of the store. A zero field means the value of DefaultOptions.
type Options struct {
	// MaxKeys is the maximum number of keys.
	MaxKeys int
	// MaxValueBytes is the maximum size of one value.
	MaxValueBytes int
	// MaxHistory is the number of changes that watches can still read; older ones are compacted.
	MaxHistory int
	// MaxLeases is the maximum number of leases.
	MaxLeases int
	// MaxWaitMS is the longest time in milliseconds that a watch may wait.
	MaxWaitMS int
}

// DefaultOptions returns limits that are large enough for the fleets of the tests and examples.
func DefaultOptions() Options {
	return Options{
		MaxKeys:       1_000_000,
		MaxValueBytes: 1 << 20,
		MaxHistory:    100_000,
		MaxLeases:     100_000,
		MaxWaitMS:     60_000,
	}
}

func (o Options) withDefaults() Options {
	defaults := DefaultOptions()
	setDefault(&o.MaxKeys, defaults.MaxKeys)
	setDefault(&o.MaxValueBytes, defaults.MaxValueBytes)
	setDefault(&o.MaxHistory, defaults.MaxHistory)
	setDefault(&o.MaxLeases, defaults.MaxLeases)
	setDefault(&o.MaxWaitMS, defaults.MaxWaitMS)
	return o
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
