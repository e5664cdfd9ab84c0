package store

// eraShift is the number of bits of a revision below its era. 40 bits hold 10^12 revisions, which is over 30 years at 1,000
// writes a second, and leave 23 bits for the era.
const eraShift = 40

// Revision returns the position of a store revision in an era. An era begins each time a store is restored from an older
// copy. Revisions of an earlier era are given out again in the next one, so positions are ordered by era first.
func Revision(era, revision int64) int64 { return era<<eraShift | revision }

// Era returns the era of a position. A store that is never restored stays in era 0, so its positions are its revisions.
func Era(position int64) int64 { return position >> eraShift }

// WithinEra returns the store revision of a position.
func WithinEra(position int64) int64 { return position & (1<<eraShift - 1) }
