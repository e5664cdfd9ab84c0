package distribution

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

const soundMember = `{"ID":"n1","Incarnation":5,"Region":"r","Domain":"d","PeerAddress":"10.0.0.1:7000","CallerAddress":"10.0.0.1:80","OperatorAddress":""}`

// Guards against an odd member record of another writer that makes nodes call an address that is none, or makes them ignore
// the records that the node itself sends.
func TestOddMemberRecordsNameNoNode(t *testing.T) {
	odd := map[string]string{
		"empty": "", "null": "null", "not JSON": "\x00\xff", "array": "[" + soundMember + "]",
		"nested":            strings.Replace(soundMember, `"n1"`, strings.Repeat("[", 100_000), 1),
		"nested and closed": strings.Replace(soundMember, `"n1"`, strings.Repeat("[", 9000)+strings.Repeat("]", 9000), 1),
		"two records":       soundMember + soundMember,
		"other ID":          strings.Replace(soundMember, `"n1"`, `"n2"`, 1),
		"invalid UTF-8":     strings.Replace(soundMember, `"n1"`, "\"n\xff1\"", 1),
		"other domain":      strings.Replace(soundMember, `"d"`, `"d/d"`, 1),
	}
	for i, address := range []string{"", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:http", "10.0.0.1", "host.example:7000", ":7000", "10.0.0.1:7000/x"} {
		odd[fmt.Sprintf("peer address %d", i)] = strings.Replace(soundMember, "10.0.0.1:7000", address, 1)
		if address != "" {
			odd[fmt.Sprintf("caller address %d", i)] = strings.Replace(soundMember, "10.0.0.1:80", address, 1)
		}
	}
	for i, incarnation := range []string{"-1", "1e30", "18446744073709551616", "18446744073709551615", "1.5", `"5"`} {
		odd[fmt.Sprintf("incarnation %d", i)] = strings.Replace(soundMember, "5", incarnation, 1)
	}
	key := MemberPrefix + "d/n1"
	if _, ok := decodeMember(store.KV{Key: key, Value: []byte(soundMember)}); !ok {
		t.Fatal("the sound record is rejected")
	}
	for name, value := range odd {
		if node, ok := decodeMember(store.KV{Key: key, Value: []byte(value)}); ok {
			t.Errorf("%s: accepted as %+v", name, node)
		}
	}
}

// Guards against a panic on a member record, and against accepting one that is not stored under the key of its node.
func FuzzDecodeMember(f *testing.F) {
	f.Add("members/d/n1", []byte(soundMember))
	f.Add("members//", []byte(`{"Incarnation":1e99}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		member, ok := decodeMember(store.KV{Key: key, Value: value})
		if ok && (MemberKey(member.Node) != key || validateNode(member.Node) != nil) {
			t.Errorf("accepted %+v under %q", member, key)
		}
		if _, err := json.Marshal(member); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a sound record that is rejected.
func TestSoundNodes(t *testing.T) {
	for _, address := range []string{"10.0.0.1:1", "10.0.0.1:65535", "[::1]:7000"} {
		node := model.Node{ID: "n", Incarnation: 1_800_000_000_000_000, PeerAddress: address, CallerAddress: address, OperatorAddress: address}
		if err := validateNode(node); err != nil {
			t.Error(err)
		}
	}
}
