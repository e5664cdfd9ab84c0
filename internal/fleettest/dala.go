package fleettest

// Dala's services and slots (design 2.5).
const (
	Tariffs  = "tariffs"
	Ledger   = "ledger"
	Invoices = "invoices"

	dalaSlots = 3
	// fullLedgerTargets is the number of ledger targets in a full layout.
	fullLedgerTargets = 10
)

// Dala returns the layout of a landing-fee office: two regions with two failure domains each. With full, each service
// has 8 targets, and ledger has 10.
func Dala(full bool) Layout {
	targets := targetCount(full)
	ledger := targets
	if full {
		ledger = fullLedgerTargets
	}
	return Layout{
		Domains: []Domain{
			{Name: "north-a", Region: "north"},
			{Name: "north-b", Region: "north"},
			{Name: "south-a", Region: "south"},
			{Name: "south-b", Region: "south"},
		},
		Services: []Service{
			{Name: Tariffs, Targets: targets, Slots: dalaSlots, Path: "/tariffs"},
			{Name: Ledger, Targets: ledger, Slots: dalaSlots, Path: "/ledger"},
			{Name: Invoices, Targets: targets, Slots: dalaSlots, Path: "/invoices"},
		},
		Declarations: dalaDeclarations,
	}
}

const dalaDeclarations = `declare service tariffs {
  floor 3 slots;
  policy dala;
  route GET "/tariffs" { timeout 10s; }
}
declare service ledger {
  floor 3 slots;
  policy dala;
  route POST "/ledger" { class non-idempotent; timeout 20s; }
}
declare service invoices {
  floor 3 slots;
  policy dala;
  route GET "/invoices" { timeout 30s; }
}
`
