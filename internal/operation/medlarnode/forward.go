package medlarnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

// forwardTimeout is the timeout of a request to store a row for another instance. It covers a table that is a hundred
// times slower than usual.
const forwardTimeout = time.Second

// minStoreTime is the time below which no row is sent to the table: its client would not get the answer and would not know that the
// submission runs.
const minStoreTime = 20 * time.Millisecond

// peerRow is a row of the table of submissions that another instance is asked to store.
type peerRow struct {
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// errNoStoreResult means that the instance that was asked to store a row has responded without a result.
var errNoStoreResult = errors.New("response holds no result of storing the row")

// insert stores a row of the table of submissions. If the table does not respond to this instance, a peer that it responds to
// is asked to store the row: an outage often affects only some of the instances.
func (n *Node) insert(row medlartable.Row, deadline time.Time) (result medlargroupcommit.Result, forwarded bool) {
	remaining := deadline.Sub(n.clock.Now()) - replyMargin
	if remaining < minStoreTime {
		return medlargroupcommit.ResultRefused, false
	}
	if !n.health.HasFailed() {
		result, forwarded = n.insertHere(row, deadline, remaining)
		if result != medlargroupcommit.ResultRefused || !n.health.HasFailed() {
			return result, forwarded
		}
	}
	return n.forward(row, deadline), true
}

// peerHedgeDelay is the time without a response of the table after which a peer is asked to store the row too. It is above the time
// after which the second copy of a transaction is sent.
const peerHedgeDelay = 400 * time.Millisecond

// insertHere sends a row to the table. If there is no response and the table seems to be away, a peer is asked to store the same row, which
// has no effect if the first copy is stored.
func (n *Node) insertHere(row medlartable.Row, deadline time.Time, remaining time.Duration) (result medlargroupcommit.Result, forwarded bool) {
	pending, ok := n.groupCommit.Begin(row)
	if !ok {
		return medlargroupcommit.ResultRefused, false
	}
	n.outage.inserting.Add(1)
	defer n.outage.inserting.Add(-1)
	timer := time.NewTimer(min(peerHedgeDelay, remaining))
	defer timer.Stop()
	select {
	case result = <-pending.Result():
		return result, false
	case <-timer.C:
	}
	byPeer := medlargroupcommit.ResultRefused
	if n.health.HasFailed() {
		byPeer = n.forward(row, deadline)
	}
	if byPeer == medlargroupcommit.ResultStored {
		pending.Cancel()
		return byPeer, true
	}
	timer.Reset(deadline.Sub(n.clock.Now()) - replyMargin)
	select {
	case result = <-pending.Result():
	case <-timer.C:
		result = pending.Cancel()
	}
	if result == medlargroupcommit.ResultRefused && byPeer == medlargroupcommit.ResultUnknown {
		return byPeer, true
	}
	return result, false
}

// forward asks a peer to store a row: one that the table responds to, or the owner of the cell if nothing is known about it. The row
// counts as refused only if the peer has not received it or says so.
func (n *Node) forward(row medlartable.Row, deadline time.Time) medlargroupcommit.Result {
	remaining := deadline.Sub(n.clock.Now()) - replyMargin
	address, client := n.forwardPeer(row.Key)
	if address == "" || remaining <= 0 {
		return medlargroupcommit.ResultRefused
	}
	n.meter.Count("store.forwarded")
	response, err := client.call(address, peerPathStore, peerRequest{
		Row: &peerRow{Part: row.Part, Key: row.Key, Value: row.Value}, Remaining: min(remaining, forwardTimeout),
	})
	now := n.clock.Now()
	if err == nil && response.Stored != "" {
		n.outage.peers.observe(address, tableReport{at: now, answered: true, toldAt: now, reaching: response.Stored == medlargroupcommit.ResultStored})
		return response.Stored
	}
	n.outage.peers.observe(address, tableReport{at: now, answered: errors.Is(err, errPeerStatus), toldAt: now})
	if err == nil {
		err = medlarwheel.WithOperation("call peer "+peerPathStore, address, errNoStoreResult)
	}
	n.log.Warn().Str("event", "store-not-forwarded").Str("key", row.Key).Str("peer", address).Err(err).
		Msg("cannot store the row through another instance")
	if medlarwheel.HasNoEffect(err) {
		return medlargroupcommit.ResultRefused
	}
	return medlargroupcommit.ResultUnknown
}

// forwardPeer returns the address of the peer that is asked to store a row, or "" if none is known that may.
func (n *Node) forwardPeer(key string) (string, *peerClient) {
	owner := n.ownerAddress()
	address := n.outage.peers.choose(owner, key, n.clock.Now())
	if address == owner {
		return address, n.forwardClient
	}
	return address, n.outage.forwardClients.clientFor(address)
}

// ownerAddress returns the address of the owner of the cell, or "" if it is unknown or this instance.
func (n *Node) ownerAddress() string {
	term := n.term.Load()
	if n.owner.Load() != nil || term == nil || term.Released || term.Process == n.process {
		return ""
	}
	return term.Address
}

// storeForPeer stores a row for an instance that the table does not respond to.
func (n *Node) storeForPeer(request peerRequest) medlargroupcommit.Result {
	if request.Row == nil || n.health.HasFailed() || n.stopping.Load() {
		return medlargroupcommit.ResultRefused
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Remaining)
	defer cancel()
	return n.groupCommit.Insert(ctx, medlartable.Row{
		Table: medlarcellstore.TableSubmissions, Part: request.Row.Part, Key: request.Row.Key, Value: request.Row.Value,
	})
}
