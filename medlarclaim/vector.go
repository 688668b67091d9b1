package medlarclaim

import (
	"slices"
	"strings"

	"medlarwheel"
)

// SeatIncarnation is one entry of an incarnation vector.
type SeatIncarnation struct {
	Instance    medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
}

// IncarnationVector holds the highest known incarnation of each seat, ordered by instance. It is immutable.
type IncarnationVector []SeatIncarnation

// Of returns the incarnation of the instance, or zero if it is unknown.
func (v IncarnationVector) Of(instance medlarwheel.InstanceID) medlarwheel.Incarnation {
	for _, e := range v {
		if e.Instance == instance {
			return e.Incarnation
		}
	}
	return 0
}

// Raised returns v with the instance at the incarnation or higher. It returns v itself if nothing changes.
func (v IncarnationVector) Raised(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) IncarnationVector {
	i, found := slices.BinarySearchFunc(v, instance, func(e SeatIncarnation, id medlarwheel.InstanceID) int {
		return strings.Compare(string(e.Instance), string(id))
	})
	switch {
	case !found:
		return slices.Insert(slices.Clone(v), i, SeatIncarnation{Instance: instance, Incarnation: incarnation})
	case v[i].Incarnation >= incarnation:
		return v
	default:
		raised := slices.Clone(v)
		raised[i].Incarnation = incarnation
		return raised
	}
}
