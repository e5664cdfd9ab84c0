package fleettest

// fullTargets is the number of targets of each service in a full layout, defaultTargets in a small one.
const (
	fullTargets    = 8
	defaultTargets = 2
)

// Huon's services and slots (design 2.5).
const (
	Proofroom    = "proofroom"
	Approvals    = "approvals"
	DielineVault = "dieline-vault"

	huonSlots = 7
)

// Huon returns the layout of a carton printer: four failure domains in two regions. With full, each service has 8
// targets.
func Huon(full bool) Layout {
	targets := targetCount(full)
	return Layout{
		Domains: []Domain{
			{Name: "hobart-a", Region: "tas-south"},
			{Name: "hobart-b", Region: "tas-south"},
			{Name: "launceston-a", Region: "tas-north"},
			{Name: "launceston-b", Region: "tas-north"},
		},
		Services: []Service{
			{Name: Proofroom, Targets: targets, Slots: huonSlots, Path: "/proofs"},
			{Name: Approvals, Targets: targets, Slots: huonSlots, Path: "/approvals"},
			{Name: DielineVault, Targets: targets, Slots: huonSlots, Path: "/archive"},
		},
		Declarations: huonDeclarations,
	}
}

// huonDeclarations has a capacity floor of one target for each service; a small layout has two targets.
const huonDeclarations = `declare service proofroom {
  floor 7 slots;
  policy huon;
  route GET "/proofs" { timeout 15s; }
}
declare service approvals {
  floor 7 slots;
  policy huon;
  route POST "/approvals" { class non-idempotent; timeout 30s; }
}
declare service dieline-vault {
  floor 7 slots;
  policy huon;
  route GET "/archive" { timeout 60s; priority bulk; }
}
`

func targetCount(full bool) int {
	if full {
		return fullTargets
	}
	return defaultTargets
}
