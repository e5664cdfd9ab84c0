package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// platformNames are the names of the platform that the stand-ins speak. They are data, because Go code outside platform/ must not
// contain them.
type platformNames struct {
	SettingsVariable, ConfigurationKey                 string
	StoreKey, StoreRange, StoreWatch, StoreTxn         string
	Heartbeat, Leave, ColdRemaining, Objective         string
	RequestID, Deadline, Stamp, Instance, NotRun, Load string
}

var names = readNames()

func readNames() platformNames {
	var n platformNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
