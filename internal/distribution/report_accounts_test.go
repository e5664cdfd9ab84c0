package distribution

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against accounts that are not in force without a report, against reports of what has not changed, and against keys and their
// hashes in a report.
func TestAccountsAreReported(t *testing.T) {
	d := newDistributor(t, "a", 1, directPuller{})
	var reports []string
	d.options.Report = func(e Event) {
		if e.Kind != DocumentApplied {
			reports = append(reports, fmt.Sprint(e.Kind, " ", e.Revision, " ", e.Accounts, " ", e.Count, " ", e.Err))
		}
	}
	const key = "k3y-that-must-not-be-shown"
	hash, _ := declaration.HashKey(key).MarshalText()
	document := func(name, fields string, revision int64) config.Document {
		return config.Document{
			Key: config.AccountKey(declaration.GroupOf(model.AccountName(name))), Revision: revision,
			Value: fmt.Appendf(nil, `{"accounts":[{"name":%q%s}]}`, name, fields),
		}
	}
	keys := `,"key_hashes":["` + string(hash) + `"]`
	for _, step := range []struct {
		document config.Document
		want     string
	}{
		{document("ash", keys, 1), "accounts_applied 1 [] 1 <nil>"},
		{document("ash", keys, 2), ""},
		{document("elm", keys, 3), "accounts_applied 3 [] 1 <nil>|key_shared 3 [ash elm] 0 <nil>"},
		{document("oak", "", 4), "accounts_applied 4 [] 1 <nil>"},
		{document("ash", keys, 5), "key_shared 5 [ash elm] 0 <nil>"},
		{document("oak", `,"later":1`, 6), `accounts_applied 6 [] 1 <nil>|account_unsupported 6 [oak] 0 field "later" is not known to this build`},
		{document("oak", `,"key_hashes":["`+key+`"]`, 7), "accounts_applied 7 [] 1 <nil>|account_unsupported 7 [oak] 0 " +
			"key hash: use the base64url of 16 bytes"},
		{config.Document{Key: config.AccountKey(declaration.GroupOf("oak")), Value: []byte(`["` + key + `"]`), Revision: 8},
			`document_rejected 8 [] 0 account group: not a JSON object`},
		{document("oak", "", 9), "accounts_applied 9 [] 1 <nil>"},
		{config.Document{Key: config.AccountKey(declaration.GroupOf("ash")), Revision: 10, Deleted: true}, "accounts_applied 10 [] 0 <nil>"},
		{document("ash", keys, 9), ""},
	} {
		reports = nil
		d.applyDocuments([]config.Document{step.document}, delivery{})
		got := strings.Join(reports, "|")
		if got != step.want {
			t.Errorf("revision %d: reports %s, want %s", step.document.Revision, got, step.want)
		}
		if strings.Contains(got, key) || strings.Contains(got, string(hash)) {
			t.Errorf("a key is shown: %s", got)
		}
	}
}
