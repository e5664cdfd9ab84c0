package operator

import "time"

func ejectionRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for _, one := range snapshot.Ejections {
		scope := "this node"
		if one.Fleetwide {
			scope = "fleet"
		}
		rows = append(rows, []string{
			string(one.Target), string(one.Service), scope, one.Cause, milliseconds(one.Since), remaining(one.Remaining),
		})
	}
	return rows
}

func quarantineRows(snapshot *Snapshot) [][]string {
	var rows [][]string
	for _, one := range snapshot.Quarantine {
		rows = append(rows, []string{
			one.Fingerprint, one.State, string(one.Service), number(one.Losses), remaining(one.Remaining),
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
	for _, one := range counts {
		if one.Count > 0 {
			rows = append(rows, []string{string(one.Reason), string(one.Node), number(one.Count)})
		}
	}
	return rows
}
