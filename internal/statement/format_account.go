package statement

import (
	"fmt"
	"strings"
)

// formatAccount returns the block of an account. An account that this build cannot apply becomes a comment, because a block without
// what the build does not know would change the account.
func formatAccount(d *AccountDeclaration) string {
	account := &d.Account
	name := quoteIfNeeded(string(account.Name))
	if account.Unsupported != "" {
		return fmt.Sprintf("# account %s is left out: this build cannot apply it as it is declared\n", name)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "declare account %s", name)
	if d.Digest != AnyDigest {
		fmt.Fprintf(&text, " at digest %s", d.Digest)
	}
	text.WriteString(" {\n")
	for _, hash := range account.KeyHashes {
		fmt.Fprintf(&text, "  key %s;\n", FormatKeyHash(hash))
	}
	if account.Rank != nil {
		fmt.Fprintf(&text, "  rank %d;\n", *account.Rank)
	}
	if account.IsLimited() {
		fmt.Fprintf(&text, "  rate %s;\n", formatQuota(account.RatePerSecond, account.Burst))
	}
	text.WriteString("}\n")
	return text.String()
}

func formatQuota(rate, burst float64) string {
	if burst == 0 {
		return formatRate(rate)
	}
	return fmt.Sprintf("%s burst %s", formatRate(rate), formatRate(burst))
}
