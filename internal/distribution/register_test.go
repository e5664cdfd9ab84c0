package distribution_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

const (
	registerKey     = config.ServicePrefix + "register"
	registerNodes   = 8
	registerWriters = 3
	// writesPerWriter keeps a history small enough to check in seconds.
	writesPerWriter = 20
	// changesPerDocument is the number of change IDs in a document. A writer has to find its change after others were
	// written on top of it.
	changesPerDocument = 8
	// resolveTimeout is how long a writer tries to resolve the outcome of a write. It is longer than any fault in the
	// test.
	resolveTimeout = 10 * time.Minute
)

// history collects operations. Calls and returns are ordered by one counter, because the fake time does not advance
// while nodes work.
type history struct {
	mu         sync.Mutex
	sequence   atomic.Int64
	operations []porcupine.Operation
}

func (h *history) record(client int, in registerInput, call int64, out registerOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: h.sequence.Add(1),
	})
}

// registerDocument returns a valid service document whose routes contain the IDs of its change and of the changes
// before it.
func registerDocument(changes []int) []byte {
	service := declaration.Service{Name: "register"}
	for _, change := range changes[:min(len(changes), changesPerDocument)] {
		service.Routes = append(service.Routes, declaration.Route{Path: "/" + strconv.Itoa(change)})
	}
	value, err := service.Encode()
	if err != nil {
		panic(err)
	}
	return value
}

func changesIn(service *declaration.Service) []int {
	var changes []int
	for _, route := range service.Routes {
		change, _ := strconv.Atoi(strings.TrimPrefix(route.Path, "/"))
		changes = append(changes, change)
	}
	return changes
}

func decodeChanges(value []byte) []int {
	service, err := declaration.Decode(value)
	if err != nil {
		return nil
	}
	return changesIn(service)
}

// writeChanges writes changes of the register and records them.
func writeChanges(f *fleet, h *history, writer int, random *rand.Rand) {
	s := &swapTimeoutStore{Store: f.store, timeout: time.Second}
	for serial := 1; serial <= writesPerWriter; {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		current, err := s.Get(context.Background(), registerKey)
		if err != nil {
			continue
		}
		writeOne(f, h, s, writer, writer*1000+serial, current)
		serial++
	}
}

func writeOne(f *fleet, h *history, s store.Store, writer, change int, current store.KV) {
	before := decodeChanges(current.Value)
	value := registerDocument(append([]int{change}, before...))
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	call := h.sequence.Add(1)
	_, err := store.SwapAndResolve(ctx, s, registerKey, current.Revision, value, 0, func(stored []byte) bool {
		return slices.Contains(decodeChanges(stored), change)
	})
	var conflict *store.ConflictError
	switch in := (registerInput{kind: writeChange, change: change, parent: before[0]}); {
	case err == nil:
		h.record(writer, in, call, registerOutput{accepted: true})
	case errors.As(err, &conflict):
		h.record(writer, in, call, registerOutput{})
	case errors.Is(err, store.ErrUnavailable):
	default:
		f.t.Errorf("the outcome of change %d was not resolved: %v", change, err)
	}
}

// injectFaults injects one random fault after another until done.
func injectFaults(f *fleet, random *rand.Rand, done <-chan struct{}) {
	faults := []fakestore.Faults{{LoseAnswers: 2}, {DelayMS: 1500}, {Down: true}, {LoseAnswers: -1}, {}, {}}
	for {
		f.store.SetFaults(faults[random.IntN(len(faults))])
		if random.IntN(4) == 0 {
			f.store.Compact()
		}
		select {
		case <-done:
			f.store.SetFaults(fakestore.Faults{})
			return
		case <-time.After(time.Duration(random.IntN(4000)) * time.Millisecond):
		}
	}
}

// readNodes reads the register on all nodes periodically until done.
func readNodes(nodes []*testNode, h *history, done <-chan struct{}) {
	for {
		for index, node := range nodes {
			readOne(h, index, readNode, h.sequence.Add(1), node)
		}
		select {
		case <-done:
			return
		case <-time.After(700 * time.Millisecond):
		}
	}
}

func readOne(h *history, index int, kind registerKind, call int64, node *testNode) {
	service := node.Snapshot().Config.Services["register"]
	if service == nil {
		return
	}
	out := registerOutput{change: changesIn(service)[0]}
	h.record(registerWriters+index, registerInput{kind: kind, node: index}, call, out)
}

// Guards against an accepted change that is lost, duplicated or reverted on any node. Responses to writers are lost or
// late, the store fails and compacts, nodes lag, and a node starts while the store is down and a lagging node is one of
// its seeds.
func TestConfigurationRegisterHistory(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := &history{}
			runInFleet(t, func(f *fleet) { runRegister(f, h, seed) })
			check := porcupine.CheckOperations(registerModel(registerNodes+1), h.operations)
			t.Logf("%d operations", len(h.operations))
			if !check {
				t.Error("the history of the register is not linearizable")
			}
		})
	}
}

func runRegister(f *fleet, h *history, seed uint64) {
	f.put(registerKey, registerDocument([]int{0}))
	laggingStore := &faultyStore{Store: f.store}
	f.options = func(o *distribution.Options) { o.Store = laggingStore }
	nodes := []*testNode{f.start(0)}
	f.options = func(*distribution.Options) {}
	for index := 1; index < registerNodes; index++ {
		nodes = append(nodes, f.start(index))
	}
	f.waitFor(time.Minute, "readiness", nodes, ready)
	// From here on the first node lags. Only the node that is added at the end can pull from it.
	laggingStore.unavailable.Store(true)
	f.partition(func(from, to model.Node) bool {
		return from.ID == nodeIdentity(0).ID || to.ID == nodeIdentity(0).ID && from.ID != nodeIdentity(registerNodes).ID
	})

	done := make(chan struct{})
	var background, writers sync.WaitGroup
	background.Go(func() { injectFaults(f, rand.New(rand.NewPCG(seed, 1)), done) })
	background.Go(func() { readNodes(nodes, h, done) })
	for writer := range registerWriters {
		writers.Go(func() { writeChanges(f, h, writer+1, rand.New(rand.NewPCG(seed, uint64(writer+2)))) })
	}
	writers.Wait()
	close(done)
	background.Wait()

	f.storeDown(true)
	call := h.sequence.Add(1)
	added := f.start(registerNodes, nodes[0].self.PeerAddress, nodes[1].self.PeerAddress)
	f.waitFor(time.Minute, "readiness without the store", []*testNode{added}, ready)
	readOne(h, registerNodes, startNode, call, added)
}

// Guards against a model that accepts every history: each of these histories violates one of its rules.
func TestRegisterModelRejects(t *testing.T) {
	write := func(change, parent int) registerInput {
		return registerInput{kind: writeChange, change: change, parent: parent}
	}
	read := func(kind registerKind, node int) registerInput { return registerInput{kind: kind, node: node} }
	accepted := registerOutput{accepted: true}
	type operation struct {
		in  registerInput
		out registerOutput
	}
	for name, operations := range map[string][]operation{
		"two children": {{write(1, 0), accepted}, {write(2, 0), accepted}},
		"never written": {
			{read(readNode, 0), registerOutput{change: 7}},
		},
		"reverted": {
			{write(1, 0), accepted},
			{read(readNode, 0), registerOutput{change: 1}},
			{read(readNode, 0), registerOutput{change: 0}},
		},
		"started with an old change": {
			{write(1, 0), accepted},
			{read(readNode, 0), registerOutput{change: 1}},
			{read(startNode, 1), registerOutput{change: 0}},
		},
		"rejected without a conflict": {{write(1, 0), registerOutput{}}},
	} {
		var h history
		for _, o := range operations {
			h.record(0, o.in, h.sequence.Add(1), o.out)
		}
		if porcupine.CheckOperations(registerModel(2), h.operations) {
			t.Errorf("%s: the model accepts the history", name)
		}
	}
}
