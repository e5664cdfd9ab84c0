package access

import (
	"testing"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

var (
	first  = &declaration.Account{Name: "a1"}
	second = &declaration.Account{Name: "a2"}
)

func known(a *declaration.Account) account.Finding {
	return account.Finding{Status: account.Known, Account: a}
}

// outcome is a decision or a refusal as text.
func outcome(d Decision, err *verdict.Error) string {
	if err != nil {
		if err.Verdict != verdict.NotRun {
			return "may have run: " + string(err.Reason)
		}
		return string(err.Reason)
	}
	return d.Access.String() + " " + string(d.AccountName())
}

// Guards against a request that runs without the account that its route requires, and against 401 where the node cannot tell.
func TestAccessByKey(t *testing.T) {
	unknown := account.Finding{Status: account.Unknown}
	const (
		open, byKey, nested = "ACCESS_OPEN ", "ACCESS_KEY ", "ACCESS_NESTED "
		required, noAccount = "api_key_required", "api_key_unknown"
		undecided           = "accounts_unknown"
	)
	for name, c := range map[string]struct {
		keys     []string
		finding  account.Finding
		parent   Parent
		want     string
		wantOpen string
	}{
		"known key":             {[]string{"k"}, known(first), NoParent, byKey + "a1", open + "a1"},
		"unknown key":           {[]string{"k"}, unknown, NoParent, noAccount, open},
		"undecided key":         {[]string{"k"}, account.Finding{}, NoParent, undecided, open},
		"no key":                {nil, unknown, NoParent, required, open},
		"empty key":             {[]string{""}, unknown, NoParent, required, open},
		"two keys":              {[]string{"k", "l"}, known(first), NoParent, required, open},
		"the same key twice":    {[]string{"k", "k"}, known(first), NoParent, required, open},
		"a key and an empty":    {[]string{"k", ""}, known(first), NoParent, required, open},
		"nested":                {nil, unknown, ParentRunning, nested, open},
		"nested, known key":     {[]string{"k"}, known(first), ParentRunning, byKey + "a1", open + "a1"},
		"nested, unknown key":   {[]string{"k"}, unknown, ParentRunning, noAccount, open},
		"nested, two keys":      {[]string{"k", "l"}, unknown, ParentRunning, required, open},
		"nested in no run":      {nil, unknown, ParentAbsent, required, open},
		"nested, run not known": {nil, unknown, ParentUnknown, undecided, open},
	} {
		r := Request{RequiresKey: true, Credential: NewCredential(c.keys), Finding: c.finding, Parent: c.parent, Configured: true}
		if got := outcome(Decide(r)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
		r.RequiresKey = false
		if got := outcome(Decide(r)); got != c.wantOpen {
			t.Errorf("%s on an open route: %s, want %s", name, got, c.wantOpen)
		}
		r.BindsAccount = true
		wantOperation := c.wantOpen
		if c.finding.Status != account.Known && NewCredential(c.keys).kind == oneKey {
			wantOperation = c.want
		}
		if got := outcome(Decide(r)); got != wantOperation {
			t.Errorf("%s on an open route, an operation: %s, want %s", name, got, wantOperation)
		}
		r.RequiresKey, r.Configured = true, false
		if _, err := Decide(r); err != nil && err.Reason != verdict.AccountsUnknown {
			t.Errorf("%s without a configuration: %s", name, err.Reason)
		}
	}
}

// Guards against a later attempt that runs with a key that was withdrawn or moved, and against one that is refused although nothing
// that concerns it has changed.
func TestAccessOfLaterAttempt(t *testing.T) {
	withKey := Decision{Access: peerv1.Access_ACCESS_KEY, Account: first}
	openWithKey := Decision{Access: peerv1.Access_ACCESS_OPEN, Account: first}
	openWithout := Decision{Access: peerv1.Access_ACCESS_OPEN}
	fromRun := Decision{Access: peerv1.Access_ACCESS_NESTED}
	unknown := account.Finding{Status: account.Unknown}
	for name, c := range map[string]struct {
		earlier  Decision
		keys     []string
		finding  account.Finding
		requires bool
		want     string
	}{
		"unchanged":                           {withKey, []string{"k"}, known(first), true, "ACCESS_KEY a1"},
		"withdrawn":                           {withKey, []string{"k"}, unknown, true, "api_key_unknown"},
		"not known any more":                  {withKey, []string{"k"}, account.Finding{}, true, "accounts_unknown"},
		"of another account":                  {withKey, []string{"k"}, known(second), true, "accounts_unknown"},
		"withdrawn, route opened":             {withKey, []string{"k"}, unknown, false, "ACCESS_OPEN "},
		"of another account, route opened":    {withKey, []string{"k"}, known(second), false, "ACCESS_OPEN a2"},
		"open, withdrawn":                     {openWithKey, []string{"k"}, unknown, false, "ACCESS_OPEN "},
		"open, of another account":            {openWithKey, []string{"k"}, known(second), false, "ACCESS_OPEN a2"},
		"route closed, no key":                {openWithout, nil, unknown, true, "api_key_required"},
		"route closed, known key":             {openWithKey, []string{"k"}, known(first), true, "ACCESS_KEY a1"},
		"route closed, key added":             {openWithout, []string{"k"}, known(first), true, "ACCESS_KEY a1"},
		"route closed, key of other account":  {openWithKey, []string{"k"}, known(second), true, "accounts_unknown"},
		"nested, the run may have ended":      {fromRun, nil, unknown, true, "ACCESS_NESTED "},
		"nested, the route needs no key then": {fromRun, nil, unknown, false, "ACCESS_OPEN "},
	} {
		r := Request{
			RequiresKey: c.requires, Credential: NewCredential(c.keys), Finding: c.finding, Parent: ParentAbsent, Configured: true,
		}
		if got := outcome(Renew(r, c.earlier)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against an attempt at another target after a refusal that holds for all targets.
func TestRefusalsOfAccess(t *testing.T) {
	want := map[verdict.Reason]bool{verdict.APIKeyRequired: true, verdict.APIKeyUnknown: true, verdict.AccountsUnknown: true}
	for _, reason := range verdict.Reasons() {
		if IsRefusal(reason) != want[reason] {
			t.Errorf("%s: %v", reason, IsRefusal(reason))
		}
	}
}

// Guards against an operation that a later attempt runs for another account than the one that holds it.
func TestLaterAttemptKeepsTheAccountOfItsOperation(t *testing.T) {
	unknown, undecided := account.Finding{Status: account.Unknown}, account.Finding{}
	for name, c := range map[string]struct {
		earlier  *declaration.Account
		finding  account.Finding
		requires bool
		want     string
	}{
		"unchanged":             {first, known(first), false, "ACCESS_OPEN a1"},
		"withdrawn":             {first, unknown, false, "api_key_unknown"},
		"not known any more":    {first, undecided, false, "accounts_unknown"},
		"of another account":    {first, known(second), false, "accounts_unknown"},
		"added":                 {nil, known(first), false, "accounts_unknown"},
		"added, route closed":   {nil, known(first), true, "accounts_unknown"},
		"unchanged, closed":     {first, known(first), true, "ACCESS_KEY a1"},
		"withdrawn, and closed": {first, unknown, true, "api_key_unknown"},
	} {
		r := Request{
			RequiresKey: c.requires, Credential: NewCredential([]string{"k"}), Finding: c.finding, BindsAccount: true, Configured: true,
		}
		earlier := Decision{Access: peerv1.Access_ACCESS_OPEN, Account: c.earlier}
		if got := outcome(Renew(r, earlier)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}
