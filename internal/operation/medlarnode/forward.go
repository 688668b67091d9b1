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

// peerRow is a row of the table of submissions that another instance is asked to store.
type peerRow struct {
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// errNoStoreResult means that the owner has responded without a result.
var errNoStoreResult = errors.New("response holds no result of storing the row")

// insert stores a row of the table of submissions. If the table does not respond to this instance, the owner of the cell is
// asked to store the row: an outage often affects only some of the instances.
func (n *Node) insert(row medlartable.Row, deadline time.Time) (result medlargroupcommit.Result, forwarded bool) {
	if !n.health.HasFailed() {
		ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(n.clock.Now())-replyMargin)
		defer cancel()
		result = n.groupCommit.Insert(ctx, row)
		if result != medlargroupcommit.ResultRefused || !n.health.HasFailed() {
			return result, false
		}
	}
	return n.forward(row, deadline), true
}

// forward asks the owner of the cell to store a row. The row counts as refused only if the owner has not received it or
// says so.
func (n *Node) forward(row medlartable.Row, deadline time.Time) medlargroupcommit.Result {
	term := n.term.Load()
	remaining := deadline.Sub(n.clock.Now()) - replyMargin
	if n.owner.Load() != nil || term == nil || term.Released || term.Process == n.process || remaining <= 0 {
		return medlargroupcommit.ResultRefused
	}
	n.meter.Count("store.forwarded")
	response, err := n.forwardClient.call(term.Address, peerPathStore, peerRequest{
		Row: &peerRow{Part: row.Part, Key: row.Key, Value: row.Value}, Remaining: min(remaining, forwardTimeout),
	})
	if err == nil && response.Stored != "" {
		return response.Stored
	}
	if err == nil {
		err = medlarwheel.WithOperation("call peer "+peerPathStore, term.Address, errNoStoreResult)
	}
	n.log.Warn().Str("event", "store-not-forwarded").Str("key", row.Key).Str("owner", string(term.Instance)).Err(err).
		Msg("cannot store the row through the owner of the cell")
	if medlarwheel.HasNoEffect(err) {
		return medlargroupcommit.ResultRefused
	}
	return medlargroupcommit.ResultUnknown
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
