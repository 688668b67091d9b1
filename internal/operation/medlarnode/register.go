package medlarnode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlartable"
)

// register is what this instance knows about the others.
type register struct {
	mu   sync.Mutex
	list *medlarinstance.Register
}

// renewRegistration keeps the row of this instance in the table, and removes it at a planned stop.
func (n *Node) renewRegistration(ctx context.Context) error {
	row, err := medlarinstance.Row(n.config.Owner.Part, medlarinstance.Instance{
		ID: n.config.Site.Instance, Address: n.config.Site.Peer, Process: n.process, Power: n.config.Site.Power,
	})
	if err != nil {
		return err
	}
	for {
		pause := n.config.Register.RenewInterval
		if _, err := n.store.Transact(medlartable.Transaction{Put: []medlartable.Row{row}}); err != nil {
			n.log.Warn().Str("event", "registration-failed").Err(err).Msg("")
			pause = n.config.Register.RetryInterval
		}
		if !sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// followInstances follows the register while this instance owns the cell.
func (n *Node) followInstances(ctx context.Context) error {
	for sleep(ctx, extendInterval) {
		owner := n.owner.Load()
		if owner == nil {
			continue
		}
		n.refreshRegister()
		n.extendAuthority(ctx)
		n.yield(ctx, owner)
	}
	return ctx.Err()
}

const (
	// extendInterval is how often an owner looks whether the table is away. It is a fraction of the owner's timeout.
	extendInterval = 250 * time.Millisecond
	// registerAge is the age of the register at which an owner reads it anew.
	registerAge = 2 * time.Second
	// promiseTimeout bounds the question to another instance.
	promiseTimeout = 200 * time.Millisecond
	// tableQuiet is the age of the table's last answer from which on an owner asks the others.
	tableQuiet = 900 * time.Millisecond
)

// refreshRegister reads the register when it is old and the table answers.
func (n *Node) refreshRegister() {
	now := n.clock.Now()
	if now.Sub(n.registerRead) < registerAge || now.Sub(n.health.LastOK()) > tableQuiet {
		return
	}
	n.registerRead = now
	rows, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).Msg("")
		return
	}
	n.setRegister(rows)
}

func (n *Node) setRegister(rows []medlartable.Row) {
	n.register.mu.Lock()
	defer n.register.mu.Unlock()
	before := n.register.list.Len()
	if err := n.register.list.Replace(n.clock.Now(), rows); err != nil {
		n.log.Error().Str("event", "row-refused").Str("table", medlarinstance.Table).Err(err).Msg("")
	}
	if after := n.register.list.Len(); after != before {
		n.log.Info().Str("event", "register-changed").Int("instances", after).Msg("")
	}
}

const (
	// yieldFactor is how much stronger another instance must be for the owner to hand the cell over. A hand-over costs
	// some hundred milliseconds of scheduling.
	yieldFactor = 1.5
	// yieldAfter is how long an instance owns the cell at least, so that the register is complete and the cell does not
	// move back and forth.
	yieldAfter = 3 * time.Second
)

// yield hands the cell over when another instance serves it better.
func (n *Node) yield(ctx context.Context, owner *medlarowner.Owner) {
	now := n.clock.Now()
	if now.Sub(n.health.LastOK()) > tableQuiet || now.Sub(owner.Since()) < yieldAfter {
		return
	}
	n.register.mu.Lock()
	live := n.register.list.Live(now)
	n.register.mu.Unlock()
	if len(live) < 2 {
		return
	}
	n.yieldForSlowness(ctx, owner)
	n.yieldToStronger(ctx, owner, medlarinstance.Strongest(live))
}

const (
	// maxTurnaround is the mean turnaround of orders from which on an owner leaves the cell to another instance. It is a good
	// part of the slack of a short submission.
	maxTurnaround = 150 * time.Millisecond
	// yieldRest is for how long an instance that has left the cell for its slowness leaves it to others.
	yieldRest = 5 * time.Second
)

// yieldForSlowness hands the cell over when this machine gives too little processor time to schedule it.
func (n *Node) yieldForSlowness(ctx context.Context, owner *medlarowner.Owner) {
	turnaround := owner.Turnaround()
	if turnaround < maxTurnaround {
		return
	}
	n.restUntil.Store(n.clock.Now().Add(yieldRest).UnixNano())
	n.log.Warn().Str("event", "cell-yielded").Int64("turnaround-ms", turnaround.Milliseconds()).Msg("")
	if err := owner.Release(ctx); err != nil {
		n.log.Warn().Str("event", "release-failed").Err(err).Msg("")
	}
}

// restDelay is how much longer an instance waits before it claims a cell that it has left for its slowness. The claim of
// another instance takes some hundred milliseconds at most.
func (n *Node) restDelay() time.Duration {
	if n.clock.Now().UnixNano() < n.restUntil.Load() {
		return 2 * weakDelay
	}
	return 0
}

// yieldToStronger hands the cell over when a much stronger instance is there.
func (n *Node) yieldToStronger(ctx context.Context, owner *medlarowner.Owner, strongest float64) {
	if strongest < yieldFactor*n.config.Site.Power {
		return
	}
	n.log.Info().Str("event", "cell-yielded").Float64("power", n.config.Site.Power).Float64("strongest", strongest).Msg("")
	if err := owner.Release(ctx); err != nil {
		n.log.Warn().Str("event", "release-failed").Err(err).Msg("")
	}
}

// claimDelay returns how long this instance waits before it claims a vacant cell: weak instances leave it to strong ones.
func (n *Node) claimDelay() time.Duration {
	rows, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).Msg("")
		return claimJitter
	}
	n.setRegister(rows)
	strongest := n.config.Site.Power
	for _, r := range rows {
		if i, err := medlarinstance.Decode(r); err == nil {
			strongest = max(strongest, i.Power)
		}
	}
	if strongest <= 0 {
		return n.restDelay()
	}
	return time.Duration((1-n.config.Site.Power/strongest)*float64(weakDelay)) + n.restDelay()
}

// weakDelay is how much longer than the strongest instance the weakest one waits before it claims a vacant cell.
const weakDelay = 400 * time.Millisecond

// extendAuthority lets the owner go on while the table answers none of the instances that could claim the cell. If it
// answers another instance, the owner hands the cell over to it.
func (n *Node) extendAuthority(ctx context.Context) {
	now := n.clock.Now()
	lastOK := n.health.LastOK()
	owner := n.owner.Load()
	if owner == nil || now.Sub(lastOK) < tableQuiet {
		return
	}
	n.register.mu.Lock()
	peers := n.register.list.Live(lastOK)
	n.register.mu.Unlock()
	answers := n.askAll(ctx, peers)
	if heir, found := bestHeir(answers); found && n.health.HasFailed() {
		n.handOver(ctx, owner, heir)
		return
	}
	for _, a := range answers {
		if !a.promise {
			n.log.Warn().Str("event", "authority-not-extended").Str("instance", string(a.peer.ID)).
				Int64("table-age-ms", now.Sub(lastOK).Milliseconds()).Msg("")
			return
		}
	}
	if len(answers) == 0 {
		// Without a register nobody can promise anything.
		n.log.Warn().Str("event", "authority-not-extended").Int64("table-age-ms", now.Sub(lastOK).Milliseconds()).Msg("")
		return
	}
	owner.Extend(now.Add(n.config.Owner.Tenure.OwnerTimeout))
	n.log.Info().Str("event", "authority-extended").Int("instances", len(peers)).
		Int64("table-age-ms", now.Sub(lastOK).Milliseconds()).Msg("")
}

// peerView is what another instance says about the table.
type peerView struct {
	peer     medlarinstance.Instance
	answered bool
	promise  bool
	tableAge time.Duration
}

// askAll asks all other instances at once about the table.
func (n *Node) askAll(ctx context.Context, peers []medlarinstance.Instance) []peerView {
	results := make(chan peerView, len(peers))
	asked := 0
	for _, peer := range peers {
		if peer.ID == n.config.Site.Instance {
			continue
		}
		asked++
		go func() {
			a, err := newPeerClient(promiseTimeout).ask(peer.Address, peerPathPromise, peerQuestion{})
			results <- peerView{peer: peer, answered: err == nil, promise: err == nil && a.Promise, tableAge: time.Duration(a.TableAge)}
		}()
	}
	views := make([]peerView, 0, asked)
	for range asked {
		select {
		case v := <-results:
			views = append(views, v)
		case <-ctx.Done():
			return append(views, peerView{})
		}
	}
	return views
}

// heirTableAge is the age of the table's last answer up to which an instance counts as served by it.
const heirTableAge = 400 * time.Millisecond

// bestHeir returns the strongest instance that the table serves.
func bestHeir(views []peerView) (heir medlarinstance.Instance, found bool) {
	for _, v := range views {
		if v.answered && v.tableAge <= heirTableAge && (!found || v.peer.Power > heir.Power) {
			heir, found = v.peer, true
		}
	}
	return heir, found
}

// handOver stops the owner and asks another instance to claim the cell. If that fails, the others claim it once they miss
// its renewals.
func (n *Node) handOver(ctx context.Context, owner *medlarowner.Owner, heir medlarinstance.Instance) {
	term := n.term.Load()
	owner.Stop(ctx)
	_, err := newPeerClient(promiseTimeout).ask(heir.Address, peerPathTakeOver, peerQuestion{Term: term.Number})
	n.log.Info().Str("event", "cell-handed-over").Uint64("term", term.Number).Str("to", string(heir.ID)).Err(err).Msg("")
}

// takeOver claims the cell from an owner that has said that it gives no more orders.
func (n *Node) takeOver(term uint64) {
	n.tenure.mu.Lock()
	if present := n.tenure.watch.Term(); present.Number == term {
		n.tenure.watch.OwnerDied(present)
	}
	n.tenure.mu.Unlock()
	n.claimIfVacant(context.Background())
}

// promise reports whether this instance can't claim the cell within the owner's timeout.
func (n *Node) promise() bool {
	n.tenure.mu.Lock()
	defer n.tenure.mu.Unlock()
	return n.tenure.watch.Promise(n.clock.Now())
}

// unregister removes the row of this instance.
func (n *Node) unregister() {
	if _, err := n.store.Transact(medlarinstance.Remove(n.config.Owner.Part, n.config.Site.Instance)); err != nil {
		n.log.Warn().Str("event", "unregister-failed").Err(errors.WithMessage(err, "the row expires")).Msg("")
	}
}
