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
	// freeRequests is a free list, so that requests allocate only when their number reaches a new peak.
	freeRequests []*trackedRequest
	expiries     indexedHeap[*trackedRequest]
	// backlog lists the lanes with waiting requests. lastSwept is the index of the lane that was swept last.
	backlog   []*lane
	lastSwept int
	lastSweep time.Time
	grants    []Grant
	// expired collects refused requests for the next call of Expire. returned is the buffer that the last call returned,
	// kept for reuse.
	expired  []Expired
	returned []Expired
	// idleOldest and idleNewest are the ends of the list of idle lanes that are not configured.
	idleOldest *lane
	idleNewest *lane
	// capacityTime is the integral of the capacity over time, up to capacitySince.
	capacityTime  time.Duration
	capacitySince time.Time
}

// NewAdmission returns an Admission with a capacity of zero.
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

// SetCapacity sets the number of requests that may be in flight. Requests in flight above a reduced capacity continue, but
// their slots are not granted again. Call Next afterwards.
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

// RemoveShare resets a lane to the default share. The lane may be evicted when it is idle.
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

// Waiting returns the number of waiting requests.
func (a *Admission) Waiting() int { return a.waiting }

// updateEntitlements divides the capacity between class floors and guarantees. When it does not cover both, the guarantees
// above the floors are reduced in proportion.
func (a *Admission) updateEntitlements() {
	var floors, excess float64
	for _, c := range a.classes {
		c.floorSlots = c.floor * float64(a.capacity)
		floors += c.floorSlots
		excess += max(0, float64(c.guaranteedSum)-c.floorSlots)
	}
	fraction := 1.0
	if spare := max(0, float64(a.capacity)-floors); excess > spare {
		fraction = spare / excess
	}
	for _, c := range a.classes {
		sum := float64(c.guaranteedSum)
		c.entitlement = min(sum, c.floorSlots) + fraction*max(0, sum-c.floorSlots)
	}
}

func (a *Admission) classOf(name medlarwheel.Class) *class {
	return a.classes[min(name.Rank(), len(a.classes)-1)]
}

// laneOf returns the lane of key. It adds an unknown lane with the default share, if necessary by evicting the least
// recently used idle lane, and returns nil if MaxLanes is reached and no lane can be evicted.
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

// linkIdle appends l to the list of idle lanes if it is idle and not configured.
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
