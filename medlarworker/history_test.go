package medlarworker_test

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"

	"medlarwheel"
	"medlarwheel/medlarworker"
)

// The history of a worker's row is checked against a sequential record: a set of commitments with a capacity.
type (
	rowInput struct {
		commit, release bool
		task            medlarwheel.TaskID
		attempt         medlarwheel.AttemptNumber
		cpu             medlarwheel.MilliCPU
	}
	rowOutput struct {
		err     error
		listing string
		// unknown marks a commitment that may have been made and released again.
		unknown bool
	}
	rowState map[medlarwheel.TaskID]rowInput
)

const (
	historyClients = 4
	historyTasks   = 5
	historyCPU     = 10
)

func rowModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return rowState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepRow(state.(rowState), input.(rowInput), output.(rowOutput))
		},
		Equal: func(a, b any) bool { return maps.Equal(a.(rowState), b.(rowState)) },
	}
}

func stepRow(state rowState, in rowInput, out rowOutput) (bool, rowState) {
	var used medlarwheel.MilliCPU
	for _, c := range state {
		used += c.cpu
	}
	held, found := state[in.task]
	next := maps.Clone(state)
	switch {
	case out.unknown:
		if !found && used+in.cpu <= historyCPU {
			next[in.task] = in
		}
		return true, next
	case in.commit && out.err == nil:
		next[in.task] = in
		return !found && used+in.cpu <= historyCPU, next
	case in.commit:
		var noRoom *medlarworker.NoRoomError
		return errors.As(out.err, &noRoom) == !found && (found || used+in.cpu > historyCPU), state
	case in.release:
		if found && held.attempt == in.attempt {
			delete(next, in.task)
		}
		return true, next
	default:
		return out.listing == listing(state), state
	}
}

func listing(state rowState) string {
	text := ""
	for _, task := range slices.Sorted(maps.Keys(state)) {
		text += fmt.Sprintf("%s:%d ", task, state[task].attempt)
	}
	return text
}

// rowTable is one row under compare-and-set. Answers get lost, and transactions are delayed. blind plants a table that
// ignores the expected version.
type rowTable struct {
	row     medlarwheel.Row
	delayed []medlarwheel.Write
	blind   bool
}

func (t *rowTable) apply(w medlarwheel.Write) bool {
	if w.Expect != t.row.Version && !t.blind {
		return false
	}
	t.row = medlarwheel.Row{Key: w.Key, Version: t.row.Version + 1, Value: w.Value}
	return true
}

type rowClient struct {
	in     rowInput
	call   int64
	record *medlarworker.Record
	write  medlarwheel.Write
	bound  bool
	sent   bool
	lost   bool
	resent bool
}

type rowHistory struct {
	rng     *rand.Rand
	table   rowTable
	clients [historyClients]rowClient
	clock   int64
	next    medlarwheel.AttemptNumber
	ops     []porcupine.Operation
}

func runRowHistory(t *testing.T, seed uint64, blind bool) []porcupine.Operation {
	h := &rowHistory{rng: rand.New(rand.NewPCG(seed, 1)), table: rowTable{blind: blind}}
	write, err := newRecord(t, historyCPU).Write()
	if err != nil {
		t.Fatal(err)
	}
	h.table.apply(write)
	for range 120 {
		h.clock++
		if len(h.table.delayed) > 0 && h.rng.IntN(6) == 0 {
			h.table.apply(h.table.delayed[0])
			h.table.delayed = h.table.delayed[1:]
		}
		h.step(h.rng.IntN(historyClients))
	}
	for i := range h.clients {
		for h.clients[i].call != 0 {
			h.clock++
			h.step(i)
		}
	}
	return h.ops
}

// step moves one client on: it begins, reads and decides, sends, or resolves a lost answer.
func (h *rowHistory) step(id int) {
	c := &h.clients[id]
	switch {
	case c.call == 0:
		h.next++
		kind := h.rng.IntN(5)
		*c = rowClient{call: h.clock, in: rowInput{
			commit: kind < 3, release: kind == 3, task: medlarwheel.TaskID(fmt.Sprintf("j.%d", h.rng.IntN(historyTasks))),
			attempt: h.next, cpu: medlarwheel.MilliCPU(1 + h.rng.IntN(5)),
		}}
	case c.lost:
		h.resolve(id)
	case !c.sent:
		h.decide(id)
	default:
		h.send(id)
	}
}

func (h *rowHistory) read() *medlarworker.Record {
	record, err := medlarworker.Decode(h.table.row, medlarworker.Default())
	if err != nil {
		panic(err)
	}
	return record
}

func (h *rowHistory) decide(id int) {
	c := &h.clients[id]
	c.record = h.read()
	var err error
	switch {
	case c.in.commit:
		c.write, err = c.record.Commit(ref(c.in.task, c.in.attempt), cores(c.in.cpu), 1)
	case c.in.release:
		for _, held := range c.record.Worker().Commitments {
			if held.Task == c.in.task && !c.bound {
				c.in.attempt = held.Attempt
			}
		}
		c.bound = true
		attempt := medlarwheel.TaskAttempt{Task: c.in.task, Attempt: c.in.attempt}
		c.write, err = c.record.Release(attempt, word(c.in.task, c.in.attempt, 1), medlarwheel.ResultEvicted, start)
	default:
		state := rowState{}
		for _, held := range c.record.Worker().Commitments {
			state[held.Task] = rowInput{attempt: held.Attempt}
		}
		h.finish(id, rowOutput{listing: listing(state)})
		return
	}
	if err != nil {
		h.finish(id, rowOutput{err: err})
		return
	}
	c.sent = true
}

func (h *rowHistory) send(id int) {
	c := &h.clients[id]
	c.sent = false
	switch h.rng.IntN(5) {
	case 0:
		h.table.apply(c.write)
		c.lost = true
	case 1:
		h.table.delayed = append(h.table.delayed, c.write)
		c.lost = true
	default:
		if h.table.apply(c.write) {
			h.finish(id, rowOutput{})
		} else {
			// The transaction that conflicts with this one can be the first copy of it.
			c.lost = c.resent
		}
	}
}

func (h *rowHistory) resolve(id int) {
	c := &h.clients[id]
	attempt := medlarwheel.TaskAttempt{Task: c.in.task, Attempt: c.in.attempt}
	resolution := h.read().Resolve(c.record.Version(), attempt, 1)
	c.lost = false
	switch {
	case resolution == medlarworker.Open:
		c.sent, c.resent = true, true
	case c.in.commit:
		h.finish(id, rowOutput{unknown: resolution == medlarworker.Void})
	}
}

func (h *rowHistory) finish(id int, out rowOutput) {
	c := &h.clients[id]
	op := porcupine.Operation{ClientId: id, Input: c.in, Call: c.call, Output: out, Return: h.clock}
	if out.unknown {
		op.Return = math.MaxInt64
	}
	h.ops = append(h.ops, op)
	*c = rowClient{}
}

const historySeeds = 150

// Guards against lost, doubled or oversized commitments when owners race on a worker's row, answers get lost and
// transactions arrive late.
func TestRowHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !porcupine.CheckOperations(rowModel(), runRowHistory(t, seed, false)) {
			t.Fatalf("seed %d: history of the row is not linearizable", seed)
		}
	}
}

// Guards against a history checker that passes everything: it must find a table that commits without compare-and-set.
func TestRowHistoryFindsBlindWrites(t *testing.T) {
	found := 0
	for seed := range uint64(historySeeds) {
		if !porcupine.CheckOperations(rowModel(), runRowHistory(t, seed, true)) {
			found++
		}
	}
	t.Logf("commits without compare-and-set found with %d of %d seeds", found, historySeeds)
	if found == 0 {
		t.Fatal("commits without compare-and-set were not found")
	}
}
