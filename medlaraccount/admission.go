package medlaraccount

import (
	"time"

	"medlarwheel"
)

// Admission decides which requests start, wait or are refused. It is not safe for concurrent use.
type Admission struct {
	config   AdmissionConfig
	capacity int
	inFlight int
	waiting  int
	classes  []*class
	lanes    map[Lane]*lane
	requests map[RequestID]*trackedRequest
	// freeRequests holds entries for reuse, so that requests do not allocate once the peak has been seen.
	freeRequests []*trackedRequest
	expiries     indexedHeap[*trackedRequest]
	// backlog lists the lanes with waiting requests, and sweepNext is the next one to sweep.
	backlog   []*lane
	lastSwept int
	lastSweep time.Time
	grants    []Grant
	// expired collects refusals for the next call of Expire, and handedOut is the buffer that the last call returned.
	expired  []Expired
	returned []Expired
	// idleOldest and idleNewest end the list of idle lanes that are not configured.
	idleOldest *lane
	idleNewest *lane
	// capacityTime is the capacity summed over time, up to capacitySince.
	capacityTime  time.Duration
	capacitySince time.Time
}

// NewAdmission returns an Admission without capacity.
func NewAdmission(c AdmissionConfig) *Admission {
	a := &Admission{
		config:   c,
		lanes:    make(map[Lane]*lane),
		requests: make(map[RequestID]*trackedRequest),
		expiries: newExpiryHeap(),
	}
	for rank, name := range medlarwheel.Classes() {
		a.classes = append(a.classes, newClass(name, c.ClassFloor.of(rank)))
	}
	return a
}

// SetCapacity sets the number of requests that may be in flight. Requests in flight above a lower capacity run on; their
// slots are not granted again. Call Next afterwards.
func (a *Admission) SetCapacity(now time.Time, n medlarwheel.Slots) {
	a.accrueCapacity(now)
	a.capacity = max(0, int(n))
	a.updateEntitlements()
}

// SetShare sets the share of a lane. Call Next afterwards.
func (a *Admission) SetShare(key Lane, s Share) {
	l, ok := a.lanes[key]
	if !ok {
		l = newLane(key, a.classOf(key.Class))
		a.lanes[key] = l
	}
	a.unlinkIdle(l)
	l.configured = true
	l.setShare(s)
	a.updateEntitlements()
}

// RemoveShare gives the lane the default share. It is dropped later, when it is idle and room is needed.
func (a *Admission) RemoveShare(key Lane) {
	l, ok := a.lanes[key]
	if !ok || !l.configured {
		return
	}
	l.configured = false
	l.setShare(a.config.DefaultShare)
	a.linkIdle(l)
	a.updateEntitlements()
}

// InFlight returns the number of requests in flight.
func (a *Admission) InFlight() int { return a.inFlight }

// Waiting returns the number of requests that wait.
func (a *Admission) Waiting() int { return a.waiting }

// updateEntitlements distributes the capacity over floors and guarantees. When it does not cover both, guarantees above the floors
// are cut in proportion.
func (a *Admission) updateEntitlements() {
	var kept, excess float64
	for _, c := range a.classes {
		c.floorSlots = c.floor * float64(a.capacity)
		kept += c.floorSlots
		excess += max(0, float64(c.guaranteedSum)-c.floorSlots)
	}
	part := 1.0
	if spare := max(0, float64(a.capacity)-kept); excess > spare {
		part = spare / excess
	}
	for _, c := range a.classes {
		sum := float64(c.guaranteedSum)
		c.entitlement = min(sum, c.floorSlots) + part*max(0, sum-c.floorSlots)
	}
}

func (a *Admission) classOf(name medlarwheel.Class) *class {
	return a.classes[min(name.Rank(), len(a.classes)-1)]
}

// laneOf returns the lane, adding it with the default share if there is room. It returns nil without room.
func (a *Admission) laneOf(key Lane) *lane {
	if l, ok := a.lanes[key]; ok {
		return l
	}
	if len(a.lanes) >= a.config.MaxLanes {
		oldest := a.idleOldest
		if oldest == nil {
			return nil
		}
		oldest.setShare(Share{})
		a.unlinkIdle(oldest)
		delete(a.lanes, oldest.key)
	}
	l := newLane(key, a.classOf(key.Class))
	l.setShare(a.config.DefaultShare)
	a.lanes[key] = l
	a.linkIdle(l)
	if l.share.Guaranteed > 0 {
		a.updateEntitlements()
	}
	return l
}

// linkIdle appends l to the list of idle lanes if it belongs there.
func (a *Admission) linkIdle(l *lane) {
	if l.configured || !l.idle() || a.idleNewest == l || l.idleNext != nil {
		return
	}
	l.idlePrevious = a.idleNewest
	if a.idleNewest == nil {
		a.idleOldest = l
	} else {
		a.idleNewest.idleNext = l
	}
	a.idleNewest = l
}

func (a *Admission) unlinkIdle(l *lane) {
	if l.idlePrevious != nil {
		l.idlePrevious.idleNext = l.idleNext
	} else if a.idleOldest == l {
		a.idleOldest = l.idleNext
	}
	if l.idleNext != nil {
		l.idleNext.idlePrevious = l.idlePrevious
	} else if a.idleNewest == l {
		a.idleNewest = l.idlePrevious
	}
	l.idleNext, l.idlePrevious = nil, nil
}
