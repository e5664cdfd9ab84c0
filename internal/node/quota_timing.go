package node

import "time"

const (
	// quotaLoan is the time from the echoed clock for which a node lends its parts. A node that loses the distributor is without permits
	// for so long. A loan echoes the answer to the one before, so that half of it is left when it begins.
	quotaLoan = 2 * time.Second
	// quotaRenewal is the time after which a node that needs no permits lends its parts again.
	quotaRenewal = 750 * time.Millisecond
	// quotaTick is the time between two checks whether parts are to be lent again.
	quotaTick = quotaRenewal / 2
	// quotaCallTimeout bounds a call to a distributor.
	quotaCallTimeout = 500 * time.Millisecond
	// maxQuotaFailures is the number of calls in a row without an answer after which a distributor is left out.
	maxQuotaFailures = 2
	// quotaFailureBackoff is the time for which a distributor that did not answer is left out. It is longer than a loan, so that the
	// parts are lent elsewhere in between.
	quotaFailureBackoff = quotaLoan + quotaCallTimeout
)
