package medlaraccount

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// Report is the usage and the reserved share of each class and lane.
type Report struct {
	Capacity medlarwheel.Slots `json:"capacity"`
	InFlight int               `json:"in-flight"`
	Waiting  int               `json:"waiting"`
	Classes  []ClassReport     `json:"classes"`
	Lanes    []LaneReport      `json:"lanes"`
}

// Usage is the use of the capacity by a class or a lane since the start.
type Usage struct {
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	InFlight int    `json:"in-flight"`
	Waiting  int    `json:"waiting"`
	// ReservedShare is the fraction of the current capacity that is available to it when all others are overloaded.
	ReservedShare float64 `json:"kept-share"`
	// UsedShare is the fraction of the capacity since the start that its ended requests have used.
	UsedShare float64 `json:"used-share"`
}

// ClassReport is the usage of one class.
type ClassReport struct {
	Class medlarwheel.Class `json:"class"`
	Usage
}

// LaneReport is the usage of one lane.
type LaneReport struct {
	Lane
	Usage
}

// Report returns the usage of every class and lane, ordered by class, template and client account.
func (a *Admission) Report(now time.Time) Report {
	a.accrueCapacity(now)
	r := Report{Capacity: medlarwheel.Slots(a.capacity), InFlight: a.inFlight, Waiting: a.waiting}
	for _, c := range a.classes {
		u := a.usage(c.admitted, c.refused, c.inFlight, c.waiting, max(c.floorSlots, c.entitlement), c.slotTime)
		r.Classes = append(r.Classes, ClassReport{Class: c.name, Usage: u})
	}
	for key, l := range a.lanes {
		u := a.usage(l.admitted, l.refused, l.inFlight, l.waiting.length, l.entitlement(), l.slotTime)
		r.Lanes = append(r.Lanes, LaneReport{Lane: key, Usage: u})
	}
	slices.SortFunc(r.Lanes, func(x, y LaneReport) int {
		return cmp.Or(cmp.Compare(x.Class.Rank(), y.Class.Rank()),
			cmp.Compare(x.Template, y.Template), cmp.Compare(x.Account, y.Account))
	})
	return r
}

func (a *Admission) usage(admitted, refused uint64, inFlight, waiting int, reserved float64, slotTime time.Duration) Usage {
	u := Usage{Admitted: admitted, Refused: refused, InFlight: inFlight, Waiting: waiting}
	if a.capacity > 0 {
		u.ReservedShare = reserved / float64(a.capacity)
	}
	if a.capacityTime > 0 {
		u.UsedShare = float64(slotTime) / float64(a.capacityTime)
	}
	return u
}

// accrueCapacity adds the capacity since the last call to capacityTime.
func (a *Admission) accrueCapacity(now time.Time) {
	if !a.capacitySince.IsZero() {
		a.capacityTime += now.Sub(a.capacitySince) * time.Duration(a.capacity)
	}
	a.capacitySince = now
}
