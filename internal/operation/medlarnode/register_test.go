package medlarnode

import (
	"testing"
	"time"

	"medlarwheel/internal/state/medlarinstance"
)

// TestAuthorityNeedsEveryPromise guards against two owners: one that goes on without the table, and one that it has not
// asked.
func TestAuthorityNeedsEveryPromise(t *testing.T) {
	a := peerView{peer: medlarinstance.Instance{ID: "a"}, promise: true}
	b := peerView{peer: medlarinstance.Instance{ID: "b"}, promise: true}
	silent := peerView{peer: medlarinstance.Instance{ID: "c"}}
	for name, c := range map[string]struct {
		answers []peerView
		age     time.Duration
		want    bool
	}{
		"all have promised": {answers: []peerView{a, b}, want: true},
		"one is silent":     {answers: []peerView{a, silent, b}},
		"nobody was asked":  {},
		"old register":      {answers: []peerView{a, b}, age: registerTrust + time.Second},
	} {
		if _, got := canExtend(c.answers, c.age); got != c.want {
			t.Errorf("%s: extended %v, want %v", name, got, c.want)
		}
	}
}

// TestNewInstanceDoesNotClaim guards against a claim by an instance that the owner's register does not name yet, or no more.
func TestNewInstanceDoesNotClaim(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var g registration
	if g.isEstablished(start) {
		t.Error("established without a registration")
	}
	renew := func(at time.Duration) { g.renewed(start.Add(at), start.Add(at)) }
	renew(0)
	renew(5 * time.Second)
	if g.isEstablished(start.Add(registerTrust)) {
		t.Error("established while an owner may have read the register before")
	}
	if !g.isEstablished(start.Add(minRegistered)) {
		t.Error("not established after the time that an owner trusts its register")
	}
	if g.isEstablished(start.Add(15 * time.Second)) {
		t.Error("established 10 s after the last renewal")
	}
	renew(20 * time.Second)
	if g.isEstablished(start.Add(21 * time.Second)) {
		t.Error("established at once after a gap")
	}
}
