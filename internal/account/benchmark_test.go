package account

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

var errOdd = errors.New("odd")

// benchGroups returns the groups of count accounts with ten keys each, in the order of their numbers.
func benchGroups(count int) [][]declaration.Account {
	groups := make([][]declaration.Account, declaration.AccountGroups)
	for i := range count {
		name := fmt.Sprintf("account-%06d", i)
		keys := make([]string, 10)
		for key := range keys {
			keys[key] = fmt.Sprintf("%s/%d", name, key)
		}
		a := accountWith(name, keys...)
		number := declaration.GroupOf(a.Name)
		groups[number] = append(groups[number], a)
	}
	return groups
}

func benchTable(count int) *Table {
	groups := map[int]*Group{}
	for number, accounts := range benchGroups(count) {
		groups[number] = NewGroup(accounts, nil)
	}
	return (*Table)(nil).Replaced(groups, false)
}

var benchSizes = []int{80, 5_000, 50_000}

// BenchmarkFind reports the time to find a known key, by number of accounts.
func BenchmarkFind(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			table := benchTable(count)
			hashes := make([]declaration.KeyHash, 1024)
			for i := range hashes {
				hashes[i] = declaration.HashKey(fmt.Sprintf("account-%06d/3", i*7919%count))
			}
			i := 0
			for b.Loop() {
				if table.Find(hashes[i%len(hashes)]).Status != Known {
					b.Fatal("not known")
				}
				i++
			}
		})
	}
}

// BenchmarkChange reports the time of a table with one key less, from the accounts of the changed group.
func BenchmarkChange(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			table := benchTable(count)
			before := benchGroups(count)[0]
			after := append([]declaration.Account(nil), before...)
			after[0].KeyHashes = after[0].KeyHashes[1:]
			for i := 0; b.Loop(); i++ {
				accounts := before
				if i%2 == 0 {
					accounts = after
				}
				group := NewGroup(append([]declaration.Account(nil), accounts...), table.Group(0))
				table = table.Replaced(map[int]*Group{0: group}, false)
			}
		})
	}
}

// BenchmarkMemory reports the heap of a table without the accounts themselves, by number of accounts.
func BenchmarkMemory(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			for b.Loop() {
				groups := benchGroups(count)
				before := heapBytes()
				members := map[int]*Group{}
				for number, accounts := range groups {
					members[number] = NewGroup(accounts, nil)
				}
				table := (*Table)(nil).Replaced(members, false)
				b.ReportMetric(float64(heapBytes()-before), "B/held-table")
				runtime.KeepAlive(groups)
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
