package medlaraccount

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// Report tells what each class and lane got, and what it keeps in a flood of the others.
type Report struct {
	Capacity medlarwheel.Slots `json:"capacity"`
	InFlight int               `json:"in-flight"`
	Waiting  int               `json:"waiting"`
	Classes  []ClassReport     `json:"classes"`
	Lanes    []LaneReport      `json:"lanes"`
}

// Usage counts requests and slots.
type Usage struct {
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	InFlight int    `json:"in-flight"`
	Waiting  int    `json:"waiting"`
	// ReservedShare is the part of the present capacity that a flood of others cannot take.
	ReservedShare float64 `json:"kept-share"`
	// UsedShare is the part of all capacity since the start that ended requests have used.
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

// Report returns the usage of every class and lane, in a fixed order.
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

func (a *Admission) usage(admitted, refused uint64, inFlight, waiting int, kept float64, used time.Duration) Usage {
	u := Usage{Admitted: admitted, Refused: refused, InFlight: inFlight, Waiting: waiting}
	if a.capacity > 0 {
		u.ReservedShare = kept / float64(a.capacity)
	}
	if a.capacityTime > 0 {
		u.UsedShare = float64(used) / float64(a.capacityTime)
	}
	return u
}

func (a *Admission) accrueCapacity(now time.Time) {
	if !a.capacitySince.IsZero() {
		a.capacityTime += now.Sub(a.capacitySince) * time.Duration(a.capacity)
	}
	a.capacitySince = now
}
