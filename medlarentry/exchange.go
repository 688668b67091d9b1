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

// exchange runs one gossip round: it exchanges state with a few peers.
func (d *Daemon) exchange(ctx context.Context) {
	type round struct {
		targets []medlardatacentre.Target
		// requests holds one request per target, because the digest depends on the data centre of the target.
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
	updates := callControl(d, func(c *control) peerUpdates { return c.mergeResponse(response, sent) })
	if updates.config {
		d.fetchConfig(ctx, target.Address)
	}
	if updates.instanceList && !d.platform.Available() {
		d.fetchInstanceList(ctx, target.Address)
	}
}

// peerUpdates marks the state that a peer has in a newer version than this instance.
type peerUpdates struct {
	config       bool
	instanceList bool
}

// fetchInstanceList fetches the instance list of a peer. It is used while the platform is unavailable.
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

// fetchConfig fetches the configuration changes that this instance lacks from a peer.
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

// fetchJSON fetches a value in JSON form from a peer. Failed calls are counted and undecodable responses are logged. The
// argument what is part of the names of the metric and of the log event.
func fetchJSON[T any](
	ctx context.Context, d *Daemon, address, what string, decode func([]byte) (T, error),
	call func(context.Context, peerpb.Peer) ([]byte, error),
) (T, bool) {
	limited, cancel := d.peers.Context(ctx)
	defer cancel()
	var none T
	data, err := call(limited, d.peers.Peer(address))
	if err != nil {
		d.metrics.count("peer-failure.fetch-" + what)
		return none, false
	}
	value, err := decode(data)
	if err != nil {
		d.log.Error().Str("event", what+"-unreadable").Str("peer", address).AnErr("error", err).
			Msgf("cannot decode the %s response of a peer; ignoring it", what)
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

// handleExchange merges the state of a peer and returns the state of this instance.
func (c *control) handleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	now := c.daemon.clock.Now()
	c.mergeDigest(now, append(request.Members, request.Sender))
	c.applyObservations(now, request.Observations)
	if request.ConfigVersion > uint64(c.configStore.Version()) || !c.configStore.IsLoaded() {
		c.daemon.exchangeNow()
	}
	c.snapshotStale = true
	sender, others := c.digestToWire(now, medlarwheel.DataCentreID(request.Sender.DataCentre))
	isolated, drained := c.slotState()
	return &peerpb.ExchangeResponse{
		Sender: sender, Members: others, ConfigVersion: uint64(c.configStore.Version()),
		ListVersion: c.instanceListVersion, Rosters: c.rostersToWire(request.Rosters), Observations: observationsToWire(c.directory.Observations(now)),
		InDoubt: isolated, Drained: drained,
	}
}

// mergeResponse merges the response of a peer and reports which state the peer has in a newer version.
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

// mergeDigest merges a peer's view of the members. If it contains a later process of this instance, this process stops,
// because both would act under one identity.
func (c *control) mergeDigest(now time.Time, members []*peerpb.Member) {
	if err := c.membership.Merge(now, membersFromWire(members)); err != nil {
		c.stopSuperseded(err)
	}
}

// recordConfirmation passes the state that a roster member reports about its slots on to the shares. Reports of a process
// other than the one in the roster are ignored.
func (c *control) recordConfirmation(response *peerpb.ExchangeResponse, epoch medlarwheel.Epoch, sent time.Time) {
	roster, _ := c.rosters.Roster(c.daemon.settings.DataCentre)
	peer := medlarwheel.InstanceID(response.Sender.Instance)
	member, ok := roster.Member(peer)
	if !ok || uint64(member.Incarnation) != response.Sender.Incarnation {
		return
	}
	confirmation := medlarupstream.Confirmation{Peer: peer, Epoch: epoch, Isolated: response.InDoubt, Drained: response.Drained, Sent: sent}
	c.daemon.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		shares.HandleConfirmation(now, confirmation)
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

// slotState reports whether this instance is isolated, so that it can't use its slots, and whether it has
// released all slots that it does not own.
func (c *control) slotState() (isolated, drained bool) {
	c.daemon.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		isolated, drained = shares.Isolated(now), shares.Drained(now)
	})
	return isolated, drained
}

// digestToWire returns the digest for a peer in a data centre: the entry of this instance, which comes first in every
// digest, and the others.
func (c *control) digestToWire(now time.Time, to medlarwheel.DataCentreID) (self *peerpb.Member, others []*peerpb.Member) {
	members := membersToWire(c.membership.Digest(now, to))
	return members[0], members[1:]
}

// rosterEpochsToWire returns the epochs of all rosters.
func (c *control) rosterEpochsToWire() []*peerpb.RosterState {
	var states []*peerpb.RosterState
	for _, r := range c.rosters.All() {
		states = append(states, &peerpb.RosterState{DataCentre: string(r.DataCentre), Epoch: uint64(r.Epoch)})
	}
	return states
}

// rostersToWire returns the epochs of all rosters, and the content of those that are newer than the peer's.
func (c *control) rostersToWire(peer []*peerpb.RosterState) []*peerpb.RosterState {
	peerEpochs := make(map[string]uint64, len(peer))
	for _, state := range peer {
		peerEpochs[state.DataCentre] = state.Epoch
	}
	states := c.rosterEpochsToWire()
	for i, r := range c.rosters.All() {
		if states[i].Epoch <= peerEpochs[states[i].DataCentre] {
			continue
		}
		if data, err := json.Marshal(r); err == nil {
			states[i].Roster = data
		}
	}
	return states
}
