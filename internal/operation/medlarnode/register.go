package medlarnode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
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
			pause = n.config.FollowRetry * 5
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
		n.yieldToStronger(ctx, owner)
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
	rows, _, err := medlartable.ReadAll(n.store, medlartable.Range{Table: medlarinstance.Table, Part: n.config.Owner.Part})
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

// yieldToStronger hands the cell over when a much stronger instance is there.
func (n *Node) yieldToStronger(ctx context.Context, owner *medlarowner.Owner) {
	now := n.clock.Now()
	if now.Sub(n.health.LastOK()) > tableQuiet || now.Sub(owner.Since()) < yieldAfter {
		return
	}
	n.register.mu.Lock()
	strongest := medlarinstance.Strongest(n.register.list.Live(now))
	n.register.mu.Unlock()
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
	rows, _, err := medlartable.ReadAll(n.store, medlartable.Range{Table: medlarinstance.Table, Part: n.config.Owner.Part})
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
		return 0
	}
	return time.Duration((1 - n.config.Site.Power/strongest) * float64(weakDelay))
}

// weakDelay is how much longer than the strongest instance the weakest one waits before it claims a vacant cell.
const weakDelay = 400 * time.Millisecond

// extendAuthority lets the owner go on while the table answers none of the instances that could claim the cell.
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
	if missing := n.withoutPromise(ctx, peers); missing != "" {
		n.log.Warn().Str("event", "authority-not-extended").Str("instance", string(missing)).
			Int64("table-age-ms", now.Sub(lastOK).Milliseconds()).Msg("")
		return
	}
	owner.Extend(now.Add(n.config.Owner.Tenure.OwnerTimeout))
	n.log.Info().Str("event", "authority-extended").Int("instances", len(peers)).
		Int64("table-age-ms", now.Sub(lastOK).Milliseconds()).Msg("")
}

// withoutPromise asks all other instances at once and returns one that may claim the cell, or "".
func (n *Node) withoutPromise(ctx context.Context, peers []medlarinstance.Instance) medlarwheel.InstanceID {
	results := make(chan medlarwheel.InstanceID, len(peers))
	asked := 0
	for _, peer := range peers {
		if peer.ID == n.config.Site.Instance {
			continue
		}
		asked++
		go func() {
			client := newPeerClient(promiseTimeout)
			a, err := client.ask(peer.Address, peerPathPromise, peerQuestion{})
			if err != nil || !a.Promise {
				results <- peer.ID
				return
			}
			results <- ""
		}()
	}
	if asked == 0 {
		// Without a register nobody can promise anything.
		return n.config.Site.Instance
	}
	for range asked {
		select {
		case missing := <-results:
			if missing != "" {
				return missing
			}
		case <-ctx.Done():
			return n.config.Site.Instance
		}
	}
	return ""
}

// promise reports whether this instance can't claim the cell within the owner's timeout.
func (n *Node) promise() bool {
	n.tenure.mu.Lock()
	defer n.tenure.mu.Unlock()
	return n.tenure.watch.Promise(n.clock.Now())
}

// unregister removes the row of this instance.
func (n *Node) unregister() {
	row := medlartable.Row{Table: medlarinstance.Table, Part: n.config.Owner.Part, Key: string(n.config.Site.Instance)}
	if _, err := n.store.Transact(medlartable.Transaction{Remove: []medlartable.Row{row}}); err != nil {
		n.log.Warn().Str("event", "unregister-failed").Err(errors.WithMessage(err, "the row expires")).Msg("")
	}
}
