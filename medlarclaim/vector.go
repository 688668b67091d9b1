package medlarclaim

import (
	"slices"
	"strings"

	"medlarwheel"
)

// InstanceIncarnation is one entry of an incarnation vector.
type InstanceIncarnation struct {
	Instance    medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
}

// IncarnationVector holds the highest known incarnation of each seat, ordered by instance. It is immutable.
type IncarnationVector []InstanceIncarnation

// Get returns the incarnation of the instance, or zero if it is unknown.
func (v IncarnationVector) Get(instance medlarwheel.InstanceID) medlarwheel.Incarnation {
	for _, e := range v {
		if e.Instance == instance {
			return e.Incarnation
		}
	}
	return 0
}

// WithAtLeast returns v with the instance at the incarnation or higher. It returns v itself if nothing changes.
func (v IncarnationVector) WithAtLeast(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) IncarnationVector {
	i, found := slices.BinarySearchFunc(v, instance, func(e InstanceIncarnation, id medlarwheel.InstanceID) int {
		return strings.Compare(string(e.Instance), string(id))
	})
	switch {
	case !found:
		return slices.Insert(slices.Clone(v), i, InstanceIncarnation{Instance: instance, Incarnation: incarnation})
	case v[i].Incarnation >= incarnation:
		return v
	default:
		raised := slices.Clone(v)
		raised[i].Incarnation = incarnation
		return raised
	}
}
