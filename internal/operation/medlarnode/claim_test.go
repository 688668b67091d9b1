package medlarnode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// eventLog counts log events and calls a hook at the first of one kind.
type eventLog struct {
	mu     sync.Mutex
	counts map[string]int
	hookAt string
	hook   func()
}

func (l *eventLog) Write(line []byte) (int, error) {
	var event struct{ Event string }
	if err := json.Unmarshal(line, &event); err != nil {
		return 0, err
	}
	l.mu.Lock()
	l.counts[event.Event]++
	isFirst := l.counts[event.Event] == 1
	l.mu.Unlock()
	if isFirst && event.Event == l.hookAt {
		l.hook()
	}
	return len(line), nil
}

func (l *eventLog) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[event]
}

// newClaimingNode returns a node whose table refuses every transaction because the row of the claim is already stored, and
// that row.
func newClaimingNode(t *testing.T, log *eventLog) (*Node, medlartable.Row) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	n, err := New(DefaultConfig(platform.Settings{
		Instance: "a", Peer: "10.0.0.1:80", StoreAddress: listener.Addr().String(), MaxLease: 10 * time.Second,
	}), zerolog.New(log), medlarmetrics.New())
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(medlarownership.Term{Number: 2, Instance: "a", Address: "10.0.0.1:80", Process: n.process})
	if err != nil {
		t.Fatal(err)
	}
	stored := medlartable.Row{Table: medlarownership.Table, Part: "c0", Key: medlarownership.KeyTerm, Value: value, Version: 9}
	conflict, err := json.Marshal(map[string]any{"ver": 9, "rows": []any{map[string]any{
		"table": stored.Table, "part": stored.Part, "key": stored.Key, "ver": stored.Version, "value": base64.StdEncoding.EncodeToString(value),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			if ctx.IsPost() {
				ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
				ctx.SetBody(conflict)
				return
			}
			ctx.SetBodyString(`{"ver":9,"rows":[]}`)
		})
	}()
	return n, stored
}

// TestClaimWithLostResponseStartsOneOwner guards against two owners of one term in one process: the table shows a claim
// whose response was lost to the follower and to the repeated claim at the same time.
func TestClaimWithLostResponseStartsOneOwner(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &eventLog{counts: map[string]int{}, hookAt: "cell-claimed"}
	n, stored := newClaimingNode(t, log)
	first := medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true}
	n.ownership.unresolved = &unresolvedClaim{
		term: medlarownership.Term{Number: 2, Instance: "a", Process: n.process}, claimedAt: n.clock.Now(),
	}
	log.hook = func() { n.observeOwnership(ctx, []medlartable.Row{stored}) }
	n.claimCell(ctx, first)
	if got := log.count("owner-started"); got != 1 {
		t.Errorf("owners started for one term: got %d, want 1", got)
	}
	if n.owner.Load() == nil {
		t.Error("the instance does not know that it owns the cell")
	}
}

// TestRepeatedClaimCountsFromFirstAttempt guards against orders by an owner whose cell another instance may already
// have claimed: the first attempt of a claim took effect, and a later one only found it in the table.
func TestRepeatedClaimCountsFromFirstAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, _ := newClaimingNode(t, &eventLog{counts: map[string]int{}})
	firstAttempt := n.clock.Now().Add(-2 * time.Second)
	n.ownership.unresolved = &unresolvedClaim{
		term: medlarownership.Term{Number: 2, Instance: "a", Process: n.process}, claimedAt: firstAttempt,
	}
	n.claimCell(ctx, medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true})
	owner := n.owner.Load()
	if owner == nil {
		t.Fatal("the claim that the table shows has started no owner")
	}
	if got := owner.ClaimedAt(); got.After(firstAttempt) {
		t.Errorf("authority counts from %v after the first attempt, want from that attempt", got.Sub(firstAttempt))
	}
}

// TestClaimOfStartedTermIsNotUnresolved guards against an instance that refuses promises because the response to its claim is
// lost only after the table has shown the claim and its owner was started.
func TestClaimOfStartedTermIsNotUnresolved(t *testing.T) {
	var s ownershipState
	claim := unresolvedClaim{term: medlarownership.Term{Number: 2}}
	if !s.beginTerm(claim.term.Number) {
		t.Fatal("the owner of a new term is not started")
	}
	if s.keepUnresolved(claim); s.unresolved != nil {
		t.Error("the claim counts as unresolved although its owner was started")
	}
}
