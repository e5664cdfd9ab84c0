package distribution

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// reportedAccounts is what was reported of the client accounts.
type reportedAccounts struct {
	// groups are the groups that were reported as applied, by their numbers.
	groups map[int]*account.Group
	// sharedKeys are the revisions at which the mistakes were reported, by the names of their accounts.
	sharedKeys map[string]int64
}

func newReportedAccounts() reportedAccounts {
	return reportedAccounts{groups: map[int]*account.Group{}, sharedKeys: map[string]int64{}}
}

// reportAccounts reports the groups of accounts of the changed documents, the accounts in them that this build cannot apply, and the
// keys that several accounts have. The caller holds d.mu.
func (d *Distributor) reportAccounts(changed []config.Document, from delivery) {
	snapshot := d.tables.config.Snapshot()
	hasChanged := false
	for _, document := range changed {
		if !strings.HasPrefix(document.Key, config.AccountPrefix) {
			continue
		}
		hasChanged = true
		number, ok := config.AccountGroupOf(document.Key)
		if newest, _ := d.tables.config.Get(document.Key); !ok || newest.Revision != document.Revision {
			continue
		}
		if _, rejected := snapshot.Rejected[document.Key]; rejected {
			delete(d.reportedAccounts.groups, number)
			continue
		}
		d.reportGroup(document, number, snapshot.Accounts.Group(number), from)
	}
	if hasChanged {
		d.reportSharedKeys(snapshot.Accounts.SharedKeys())
	}
}

// reportGroup reports the group of a document. A document without a change of the group is not reported as applied.
func (d *Distributor) reportGroup(document config.Document, number int, group *account.Group, from delivery) {
	if group != d.reportedAccounts.groups[number] {
		d.reportedAccounts.groups[number] = group
		event := d.documentEvent(document, from)
		event.Kind, event.Count = AccountsApplied, len(group.Accounts())
		d.options.Report(event)
	}
	for _, unsupported := range group.Unsupported() {
		d.options.Report(Event{
			Kind: AccountUnsupported, Key: document.Key, Revision: document.Revision,
			Accounts: []model.AccountName{unsupported.Name}, Err: errors.New(unsupported.Unsupported),
		})
	}
}

// reportSharedKeys reports the accounts that have keys in common, once for each revision of their groups.
func (d *Distributor) reportSharedKeys(keys []account.SharedKey) {
	reported := make(map[string]int64, len(keys))
	for _, key := range keys {
		revision := d.newestGroup(key.Accounts)
		reported[key.String()] = revision
		if d.reportedAccounts.sharedKeys[key.String()] != revision {
			d.options.Report(Event{Kind: KeyShared, Revision: revision, Accounts: key.Accounts})
		}
	}
	d.reportedAccounts.sharedKeys = reported
}

// newestGroup returns the greatest revision of the groups of the accounts.
func (d *Distributor) newestGroup(accounts []model.AccountName) int64 {
	newest := int64(0)
	for _, name := range accounts {
		document, _ := d.tables.config.Get(config.AccountKey(declaration.GroupOf(name)))
		newest = max(newest, document.Revision)
	}
	return newest
}
