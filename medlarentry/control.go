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

// controlTick is the time between the regular steps of the control loop.
const controlTick = 50 * time.Millisecond

// event is a change of the control state. It runs on the control loop, which owns that state.
type event func(c *control)

// control is the state that only the control loop touches.
type control struct {
	d       *Daemon
	view    *medlardatacentre.View
	rosters *medlardatacentre.RosterMap
	book    *medlarconfig.Store
	// contracts is the book's content in the form for the traffic path, made anew when the book has changed.
	contracts contracts
	directory *medlarupstream.Directory
	random    *rand.Rand
	// listVersion is the version of the last instance list.
	listVersion uint64
	list        medlarwheel.InstanceList
	// applied is the directory's change count that the router has.
	applied uint64
	// routed is the configuration version that the router and the gates have.
	routed medlarwheel.ConfigVersion
	// sharedOver is the number of instances over which guarantees were last split.
	sharedOver int
	dirty      bool
}

func newControl(d *Daemon) *control {
	now := d.clock.Now()
	view := medlardatacentre.NewView(d.self(), medlardatacentre.DefaultViewConfig())
	for _, address := range d.settings.Seeds {
		view.AddSeed(address)
	}
	view.IncrementHeartbeat(now)
	c := &control{
		d: d, view: view,
		rosters:   medlardatacentre.NewRosterMap(),
		book:      medlarconfig.NewStore(),
		directory: medlarupstream.NewDirectory(medlarupstream.DefaultDirectoryConfig()),
		random:    rand.New(rand.NewPCG(uint64(d.incarnation), uint64(now.UnixNano()))),
	}
	c.contracts = contractsOf(c.book)
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
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.d.events:
			e(c)
		case <-ticker.C:
		}
		c.settle()
	}
}

// settle brings the router, the gates and the snapshot up to date with the control state.
func (c *control) settle() {
	if c.directory.Revision() != c.applied || c.book.Version() != c.routed {
		c.applyRouting()
	}
	if c.dirty && c.liveInstances() != c.sharedOver {
		c.applyShares()
	}
	if c.dirty {
		c.dirty = false
		old := c.d.snapshot.Swap(c.snapshot())
		close(old.replaced)
		c.d.ready.Store(c.book.IsLoaded() && !c.d.isStopping())
	}
}

// post hands an event to the control loop. It gives up when the instance has stopped.
func (d *Daemon) post(e event) {
	select {
	case d.events <- e:
	case <-d.base.Done():
	}
}

// ask runs f on the control loop and waits for its result. It returns the zero value when the instance has stopped.
func ask[T any](d *Daemon, f func(c *control) T) T {
	reply := make(chan T, 1)
	d.post(func(c *control) { reply <- f(c) })
	select {
	case value := <-reply:
		return value
	case <-d.base.Done():
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

// upstreamLeaving notes an upstream that announced that it is leaving.
func (d *Daemon) upstreamLeaving(u medlarwheel.Upstream) {
	d.post(func(c *control) {
		c.directory.Observe(d.clock.Now(), medlarupstream.Observation{
			Upstream: u.ID, Incarnation: u.Incarnation, Leaving: true, Source: medlarupstream.SourceUpstream,
		})
	})
}
