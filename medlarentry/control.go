package medlarentry

import (
	"context"
	"math/rand/v2"
	"time"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarupstream"
)

// controlInterval is the time between the regular steps of the control loop.
const controlInterval = 50 * time.Millisecond

// controlFunc is a change of the control state. It runs on the control loop, which owns that state.
type controlFunc func(c *control)

// control is the state that only the control loop touches.
type control struct {
	daemon      *Daemon
	membership  *medlardatacentre.View
	rosters     *medlardatacentre.RosterMap
	configStore *medlarconfig.Store
	// activeConfig is the book's content in the form for the traffic path, made anew when the book has changed.
	activeConfig activeConfig
	directory    *medlarupstream.Directory
	random       *rand.Rand
	// instanceListVersion is the version of the last instance list.
	instanceListVersion uint64
	instanceList        medlarwheel.InstanceList
	// routedRevision is the directory's change count that the router has.
	routedRevision uint64
	// routedConfig is the configuration version that the router and the gates have.
	routedConfig medlarwheel.ConfigVersion
	// sharesInstanceCount is the number of instances over which guarantees were last split.
	sharesInstanceCount int
	snapshotStale       bool
}

func newControl(d *Daemon) *control {
	now := d.clock.Now()
	view := medlardatacentre.NewView(d.self(), medlardatacentre.DefaultViewConfig())
	for _, address := range d.settings.Seeds {
		view.AddSeed(address)
	}
	view.IncrementHeartbeat(now)
	c := &control{
		daemon: d, membership: view,
		rosters:     medlardatacentre.NewRosterMap(),
		configStore: medlarconfig.NewStore(),
		directory:   medlarupstream.NewDirectory(medlarupstream.DefaultDirectoryConfig()),
		random:      rand.New(rand.NewPCG(uint64(d.incarnation), uint64(now.UnixNano()))),
	}
	c.activeConfig = newActiveConfig(c.configStore)
	return c
}

func (d *Daemon) self() medlarwheel.EntryInstance {
	return medlarwheel.EntryInstance{
		ID: d.settings.Instance, DataCentre: d.settings.DataCentre, PeerAddress: d.settings.AdvertisePeer,
		Incarnation: d.incarnation, State: medlarwheel.StateLive,
	}
}

// loop runs events and regular steps until ctx ends.
func (c *control) loop(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.daemon.controlQueue:
			e(c)
		case <-ticker.C:
		}
		c.publishState()
	}
}

// publishState brings the router, the gates and the snapshot up to date with the control state.
func (c *control) publishState() {
	if c.directory.Revision() != c.routedRevision || c.configStore.Version() != c.routedConfig {
		c.applyRouting()
	}
	if c.snapshotStale && c.liveInstances() != c.sharesInstanceCount {
		c.applyShares()
	}
	if c.snapshotStale {
		c.snapshotStale = false
		old := c.daemon.snapshot.Swap(c.newSnapshot())
		close(old.replaced)
		c.daemon.ready.Store(c.configStore.IsLoaded() && !c.daemon.isStopping())
	}
}

// postToControl hands an event to the control loop. It gives up when the instance has stopped.
func (d *Daemon) postToControl(e controlFunc) {
	select {
	case d.controlQueue <- e:
	case <-d.baseCtx.Done():
	}
}

// callControl runs f on the control loop and waits for its result. It returns the zero value when the instance has stopped.
func callControl[T any](d *Daemon, f func(c *control) T) T {
	reply := make(chan T, 1)
	d.postToControl(func(c *control) { reply <- f(c) })
	select {
	case value := <-reply:
		return value
	case <-d.baseCtx.Done():
		var none T
		return none
	}
}

func (d *Daemon) isStopping() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// observeUpstreamLeaving notes an upstream that announced that it is leaving.
func (d *Daemon) observeUpstreamLeaving(u medlarwheel.Upstream) {
	d.postToControl(func(c *control) {
		c.directory.Observe(d.clock.Now(), medlarupstream.Observation{
			Upstream: u.ID, Incarnation: u.Incarnation, Leaving: true, Source: medlarupstream.SourceUpstream,
		})
	})
}
