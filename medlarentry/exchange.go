package medlarentry

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarpeer/peerpb"
	"medlarwheel/medlarupstream"
)

// exchange merges state with a few peers.
func (d *Daemon) exchange(ctx context.Context) {
	type round struct {
		targets []medlardatacentre.Target
		// requests has one request for each target, because the digest depends on where it goes.
		requests []*peerpb.ExchangeRequest
	}
	r := callControl(d, func(c *control) round {
		now := d.clock.Now()
		c.membership.IncrementHeartbeat(now)
		c.snapshotStale = true
		r := round{targets: c.membership.Targets(now, c.random)}
		for _, target := range r.targets {
			r.requests = append(r.requests, c.exchangeRequest(now, target.DataCentre))
		}
		return r
	})
	var group errgroup.Group
	for i, target := range r.targets {
		group.Go(func() error {
			d.exchangeWith(ctx, target, r.requests[i])
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Daemon) exchangeWith(ctx context.Context, target medlardatacentre.Target, request *peerpb.ExchangeRequest) {
	limited, cancel := d.peers.Context(ctx)
	defer cancel()
	sent := d.clock.Now()
	response, err := d.peers.Peer(target.Address).Exchange(limited, request)
	if err != nil || response.Sender == nil {
		d.metrics.count("peer-failure.exchange")
		return
	}
	news := callControl(d, func(c *control) peerUpdates { return c.mergeResponse(response, sent) })
	if news.config {
		d.fetchConfig(ctx, target.Address)
	}
	if news.instanceList && !d.platform.Available() {
		d.fetchInstanceList(ctx, target.Address)
	}
}

// peerUpdates tells what a peer has newer than this instance.
type peerUpdates struct {
	config       bool
	instanceList bool
}

// fetchInstanceList reads the instance list that a peer has, while the platform is out of reach.
func (d *Daemon) fetchInstanceList(ctx context.Context, address string) {
	list, ok := fetchJSON(ctx, d, address, "list", medlarwheel.Decode[medlarwheel.InstanceList],
		func(ctx context.Context, peer peerpb.Peer) ([]byte, error) {
			response, err := peer.FetchList(ctx, &peerpb.FetchListRequest{})
			return response.GetList(), err
		})
	if ok {
		d.postToControl(func(c *control) { c.applyInstanceList(list) })
	}
}

// fetchConfig reads the configuration changes that a peer has and this instance has not.
func (d *Daemon) fetchConfig(ctx context.Context, address string) {
	after := d.snapshot.Load().config.Version()
	delta, ok := fetchJSON(ctx, d, address, "config", medlarwheel.Decode[medlarwheel.ConfigDelta],
		func(ctx context.Context, peer peerpb.Peer) ([]byte, error) {
			response, err := peer.FetchConfig(ctx, &peerpb.FetchConfigRequest{After: uint64(after)})
			return response.GetDelta(), err
		})
	if ok {
		d.postToControl(func(c *control) { c.applyConfig(delta, address) })
	}
}

// fetchJSON reads a value from a peer as JSON text. A failed call is counted, and text that can't be read is logged, both
// under the name of what is read.
func fetchJSON[T any](
	ctx context.Context, d *Daemon, address, what string, decode func([]byte) (T, error),
	call func(context.Context, peerpb.Peer) ([]byte, error),
) (T, bool) {
	limited, cancel := d.peers.Context(ctx)
	defer cancel()
	var none T
	text, err := call(limited, d.peers.Peer(address))
	if err != nil {
		d.metrics.count("peer-failure.fetch-" + what)
		return none, false
	}
	value, err := decode(text)
	if err != nil {
		d.log.Error().Str("event", what+"-unreadable").Str("peer", address).AnErr("error", err).Send()
		return none, false
	}
	return value, true
}

func (c *control) exchangeRequest(now time.Time, to medlarwheel.DataCentreID) *peerpb.ExchangeRequest {
	sender, others := c.digestToWire(now, to)
	return &peerpb.ExchangeRequest{
		Sender: sender, Members: others, ConfigVersion: uint64(c.configStore.Version()),
		ListVersion: c.instanceListVersion, Rosters: c.rosterEpochsToWire(), Observations: observationsToWire(c.directory.Observations(now)),
	}
}

// handleExchange merges a peer's state and returns the own.
func (c *control) handleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	now := c.daemon.clock.Now()
	c.mergeDigest(now, append(request.Members, request.Sender))
	c.applyObservations(now, request.Observations)
	if request.ConfigVersion > uint64(c.configStore.Version()) || !c.configStore.IsLoaded() {
		c.daemon.exchangeNow()
	}
	c.snapshotStale = true
	sender, others := c.digestToWire(now, medlarwheel.DataCentreID(request.Sender.DataCentre))
	inDoubt, drained := c.slotState()
	return &peerpb.ExchangeResponse{
		Sender: sender, Members: others, ConfigVersion: uint64(c.configStore.Version()),
		ListVersion: c.instanceListVersion, Rosters: c.rostersToWire(request.Rosters), Observations: observationsToWire(c.directory.Observations(now)),
		InDoubt: inDoubt, Drained: drained,
	}
}

// mergeResponse merges a peer's answer and reports what the peer has newer.
func (c *control) mergeResponse(response *peerpb.ExchangeResponse, sent time.Time) peerUpdates {
	now := c.daemon.clock.Now()
	c.mergeDigest(now, append(response.Members, response.Sender))
	c.applyObservations(now, response.Observations)
	epoch := medlarwheel.Epoch(0)
	for _, state := range response.Rosters {
		if state.DataCentre == string(c.daemon.settings.DataCentre) {
			epoch = medlarwheel.Epoch(state.Epoch)
		}
		c.mergeRoster(state)
	}
	c.recordConfirmation(response, epoch, sent)
	c.snapshotStale = true
	loaded := response.ConfigVersion > 0
	return peerUpdates{
		config:       response.ConfigVersion > uint64(c.configStore.Version()) || (loaded && !c.configStore.IsLoaded()),
		instanceList: response.ListVersion > c.instanceListVersion,
	}
}

// mergeDigest takes over what a peer knows of the members. An instance that learns of a later process of its own name stops,
// because both would act under one identity.
func (c *control) mergeDigest(now time.Time, members []*peerpb.Member) {
	if err := c.membership.Merge(now, membersFromWire(members)); err != nil {
		c.stopSuperseded(err)
	}
}

// recordConfirmation passes the word of a roster member on to the shares. Only the process that the roster names may speak for
// its slots.
func (c *control) recordConfirmation(response *peerpb.ExchangeResponse, epoch medlarwheel.Epoch, sent time.Time) {
	roster, _ := c.rosters.Roster(c.daemon.settings.DataCentre)
	peer := medlarwheel.InstanceID(response.Sender.Instance)
	member, ok := roster.Member(peer)
	if !ok || uint64(member.Incarnation) != response.Sender.Incarnation {
		return
	}
	contact := medlarupstream.Confirmation{Peer: peer, Epoch: epoch, Isolated: response.InDoubt, Drained: response.Drained, Sent: sent}
	c.daemon.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		shares.HandleConfirmation(now, contact)
	})
}

func (c *control) mergeRoster(state *peerpb.RosterState) {
	if len(state.Roster) == 0 || medlarwheel.Epoch(state.Epoch) <= c.rosters.Epoch(medlarwheel.DataCentreID(state.DataCentre)) {
		return
	}
	if roster, err := c.daemon.decodeRoster(rosterRowPrefix+state.DataCentre, state.Roster); err == nil {
		c.applyRoster(roster, "peer")
	}
}

func (c *control) applyObservations(now time.Time, observations []*peerpb.UpstreamObservation) {
	for _, o := range observations {
		c.directory.Observe(now, medlarupstream.Observation{
			Upstream: medlarwheel.UpstreamID(o.Upstream), Incarnation: medlarwheel.Incarnation(o.Incarnation),
			Leaving: o.Leaving, Source: medlarupstream.SourcePeer,
		})
	}
}

// slotState reports whether this instance lacks the contact to use its slots, and whether it has given up those that it
// does not own.
func (c *control) slotState() (inDoubt, drained bool) {
	c.daemon.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		inDoubt, drained = shares.Isolated(now), shares.Drained(now)
	})
	return inDoubt, drained
}

// digestToWire returns the own entry, which comes first in every digest, and the others for a peer in a data centre.
func (c *control) digestToWire(now time.Time, to medlarwheel.DataCentreID) (self *peerpb.Member, others []*peerpb.Member) {
	members := membersToWire(c.membership.Digest(now, to))
	return members[0], members[1:]
}

// rosterEpochsToWire lists the epochs of all rosters.
func (c *control) rosterEpochsToWire() []*peerpb.RosterState {
	var states []*peerpb.RosterState
	for _, r := range c.rosters.All() {
		states = append(states, &peerpb.RosterState{DataCentre: string(r.DataCentre), Epoch: uint64(r.Epoch)})
	}
	return states
}

// rostersToWire lists the epochs of all rosters, with the text of those that are newer than the peer's.
func (c *control) rostersToWire(peer []*peerpb.RosterState) []*peerpb.RosterState {
	theirs := make(map[string]uint64, len(peer))
	for _, state := range peer {
		theirs[state.DataCentre] = state.Epoch
	}
	states := c.rosterEpochsToWire()
	for i, r := range c.rosters.All() {
		if states[i].Epoch <= theirs[states[i].DataCentre] {
			continue
		}
		if text, err := json.Marshal(r); err == nil {
			states[i].Roster = text
		}
	}
	return states
}
