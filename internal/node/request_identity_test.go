package node

import (
	"encoding/json"
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
)

// Guards against a crashing request that quarantines another one, which only looks like it: one of another host, caller, method,
// path, query or body, or one whose fields give the same bytes when they are joined.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	requests := []requestIdentity{
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/a", body: []byte("b")},
		{host: "rates.example", caller: "ledger", method: "GET", uri: "/a", body: []byte("b")},
		{host: "fees.example", caller: "tariffs", method: "GET", uri: "/a", body: []byte("b")},
		{host: "fees.example", caller: "ledger", method: "POST", uri: "/a", body: []byte("b")},
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/a?b", body: []byte("b")},
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/a", body: []byte("c")},
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/a"},
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/ab"},
		{host: "fees.example", caller: "ledger", method: "GET", uri: "/a\nb"},
		{host: "fees.examplel", caller: "edger", method: "GET", uri: "/a", body: []byte("b")},
		{host: "fees.example", caller: "ledgerG", method: "ET", uri: "/a", body: []byte("b")},
		{caller: "fees.example", method: "ledger", uri: "GET", body: []byte("/ab")},
	}
	seen := map[quarantine.Fingerprint]requestIdentity{}
	for _, request := range requests {
		fingerprint := request.fingerprint()
		if other, ok := seen[fingerprint]; ok {
			t.Errorf("%+v and %+v have the same fingerprint", request, other)
		}
		seen[fingerprint] = request
	}
}

// Guards against a crashing request that is not recognized after the configuration writes the host of its route in another way.
func TestHostsOfOneRouteHaveOneFingerprint(t *testing.T) {
	want := requestIdentity{host: "fees.example", method: "GET", uri: "/a"}.fingerprint()
	for _, host := range []string{"Fees.Example", "fees.example:80", "fees.example.", "FEES.example.:8080"} {
		if got := (requestIdentity{host: host, method: "GET", uri: "/a"}).fingerprint(); got != want {
			t.Errorf("host %q: %s, want %s", host, got, want)
		}
	}
}

// Guards against an entry of an earlier build, whose fingerprint is of another kind, that quarantines a request of this one.
func TestEntryOfEarlierBuildIsIgnored(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		c := f.start()
		c.merge([]byte(`{"fingerprint":31,"epoch":1,"losses":[{"target":"t1","serial":1},{"target":"t2","serial":1}],"age_ns":0}`))
		if !allows(c) {
			t.Error("an entry without the kind of its fingerprint quarantines")
		}
		f.crash(c, "t1")
		value, err := json.Marshal(c.entries()[0])
		if err != nil {
			t.Fatal(err)
		}
		other := f.start()
		other.merge(value)
		if len(other.entries()) != 1 {
			t.Errorf("an entry of this build is ignored: %s", value)
		}
	})
}

// Guards against fingerprints and stored keys of requests without an account that change with the build.
func TestIdentityWithoutAnAccountIsUnchanged(t *testing.T) {
	identity := requestIdentity{host: "fees.example", caller: "ledger", method: "GET", uri: "/a", body: []byte("b")}
	if got := identity.fingerprint().String(); got != "c20f546d82c92b54" {
		t.Errorf("fingerprint %s", got)
	}
	if got := operationFingerprint("", "POST", "/a", []byte("b")); got != 0x1068c50e0db51e75 {
		t.Errorf("operation %x", got)
	}
}

// Guards against a request of one account that quarantines, or uses the ticket of, an equal request of another one.
func TestRequestsOfAccountsDiffer(t *testing.T) {
	fingerprints, operations := map[quarantine.Fingerprint]bool{}, map[uint64]bool{}
	for _, account := range []model.AccountName{"", "a1", "a2", "a1POST"} {
		fingerprints[requestIdentity{method: "POST", uri: "/a", body: []byte("b"), account: account}.fingerprint()] = true
		operations[operationFingerprint(account, "POST", "/a", []byte("b"))] = true
	}
	if len(fingerprints) != 4 || len(operations) != 4 {
		t.Errorf("%d fingerprints and %d operations of equal requests of 4 accounts", len(fingerprints), len(operations))
	}
}
