package statement

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// accountNamePattern admits the names that a header field can carry unchanged.
var accountNamePattern = regexp.MustCompile(`^[!-~]{1,200}$`)

// maxQuota is the greatest rate and burst of an account.
const maxQuota = 1e9

func (b *builder) account(node *accountNode) *AccountDeclaration {
	errorsBefore := len(b.errors)
	declared := &AccountDeclaration{Place: positionOf(node.Name.Pos)}
	declared.Account.Name = b.accountName(node.Name)
	if node.Digest != nil {
		declared.Digest = b.digest(*node.Digest)
	}
	b.accountItems(declared, node.Items)
	if len(b.errors) > errorsBefore {
		return declared
	}
	if err := declared.Account.Validate(); err != nil {
		b.addError(node.Name.Pos, "%v", err)
	}
	return declared
}

func (b *builder) accountName(word wordNode) model.AccountName {
	name := b.nonEmpty(word, "account")
	if name != "" && !accountNamePattern.MatchString(name) {
		b.addError(word.Pos, "account name %q: use 1 to 200 printable ASCII characters without spaces", name)
	}
	return model.AccountName(name)
}

func (b *builder) digest(word wordNode) string {
	digest := b.unquote(word)
	if !digestPattern.MatchString(digest) {
		b.addError(word.Pos, "the digest %q is neither %s nor 12 lower-case hexadecimal digits", digest, NoAccount)
	}
	return digest
}

func (b *builder) accountItems(declared *AccountDeclaration, items []*accountItemNode) {
	lines := make(settingLines)
	var keys []placedKey
	for _, item := range items {
		switch {
		case item.Rank != nil:
			b.checkDuplicate(lines, "rank", item.Pos)
			declared.Account.Rank = b.rank(*item.Rank)
		case item.Rate != nil:
			b.checkDuplicate(lines, "rate", item.Pos)
			declared.Account.RatePerSecond, declared.Account.Burst = b.quota(item.Rate)
		default:
			keys = append(keys, b.keys(item.Keys)...)
		}
	}
	b.setKeys(declared, keys)
}

// placedKey is a key hash with its position.
type placedKey struct {
	hash  declaration.KeyHash
	place Position
}

func (b *builder) keys(list []wordNode) []placedKey {
	keys := make([]placedKey, 0, len(list))
	for _, word := range list {
		keys = append(keys, placedKey{b.keyHash(word), positionOf(word.Pos)})
	}
	return keys
}

// keyHash never adds the text of the word to an error, because it may be an API key.
func (b *builder) keyHash(word wordNode) declaration.KeyHash {
	text := word.Text
	if strings.HasPrefix(text, `"`) {
		// A text that cannot be unquoted is empty, which is not a hash.
		text, _ = strconv.Unquote(text)
	}
	hash, err := parseKeyHash(text)
	if err != nil {
		b.addError(word.Pos, "%v", err)
	}
	return hash
}

// setKeys sorts the keys of the account and adds an error for each one that is listed twice.
func (b *builder) setKeys(declared *AccountDeclaration, keys []placedKey) {
	slices.SortStableFunc(keys, func(x, y placedKey) int { return bytes.Compare(x.hash[:], y.hash[:]) })
	for i, key := range keys {
		if i > 0 && key.hash == keys[i-1].hash && key.hash != (declaration.KeyHash{}) {
			b.addErrorAt(key.place, "the key %s is given before in line %d", KeyID(key.hash), keys[i-1].place.Line)
		}
		declared.Account.KeyHashes = append(declared.Account.KeyHashes, key.hash)
		declared.KeyPlaces = append(declared.KeyPlaces, key.place)
	}
}

func (b *builder) rank(word wordNode) *int {
	rank, err := strconv.Atoi(b.unquote(word))
	if err != nil || rank < 0 {
		b.addError(word.Pos, "the rank %s is not a whole number from 0", word.Text)
	}
	return &rank
}

func (b *builder) quota(node *rateNode) (rate, burst float64) {
	rate = b.quotaNumber(node.Rate, "rate")
	if rate == 0 {
		b.addError(node.Rate.Pos, "a rate of 0 is not valid; leave the rate out for no limit")
	}
	if node.Burst != nil {
		burst = b.quotaNumber(*node.Burst, "burst")
	}
	return rate, burst
}

// quotaNumber returns a number from 0 to maxQuota. The negated comparison also rejects NaN.
func (b *builder) quotaNumber(word wordNode, what string) float64 {
	number, err := strconv.ParseFloat(b.unquote(word), 64)
	if err != nil || !(number >= 0 && number <= maxQuota) {
		b.addError(word.Pos, "the %s %s is not a number from 0 to %g", what, word.Text, maxQuota)
		return 1
	}
	return number
}

// checkKeysOfFile adds an error for each key that a second account of the file declares.
func (b *builder) checkKeysOfFile(declarations []Declaration) {
	owners := make(map[declaration.KeyHash]*AccountDeclaration)
	for i := range declarations {
		account := declarations[i].Account
		if account == nil {
			continue
		}
		for k, hash := range account.Account.KeyHashes {
			first := owners[hash]
			if first != nil && first.Account.Name != account.Account.Name && hash != (declaration.KeyHash{}) {
				b.addErrorAt(account.KeyPlaces[k], "the key %s of account %s is a key of account %s as well, declared in line %d",
					KeyID(hash), account.Account.Name, first.Account.Name, first.Place.Line)
			}
			owners[hash] = account
		}
	}
}
