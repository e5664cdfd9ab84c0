package operator

import "time"

func ejectionRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for _, ejection := range snapshot.Ejections {
		scope := "this node"
		if ejection.Fleetwide {
			scope = "fleet"
		}
		rows = append(rows, []string{
			string(ejection.Target), string(ejection.Service), scope, ejection.Cause, milliseconds(ejection.Since), remaining(ejection.Remaining),
		})
	}
	return rows
}

func quarantineRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for _, entry := range snapshot.Quarantine {
		rows = append(rows, []string{
			entry.Fingerprint, entry.State, string(entry.Service), number(entry.Losses), remaining(entry.Remaining),
		})
	}
	return rows
}

// remaining returns an empty cell for an entry that does not expire.
func remaining(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return milliseconds(d)
}

// reasonRows leaves out reasons that were not counted.
func reasonRows(counts []ReasonCount) [][]string {
	var rows [][]string
	for _, entry := range counts {
		if entry.Count > 0 {
			rows = append(rows, []string{string(entry.Reason), string(entry.Node), number(entry.Count)})
		}
	}
	return rows
}
