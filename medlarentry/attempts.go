package medlarentry

import (
	"strconv"
	"sync/atomic"

	"medlarwheel"
)

// attemptIDs generates attempt ids that are unique over all instances and incarnations.
type attemptIDs struct {
	prefix string
	last   atomic.Uint64
}

func newAttemptIDs(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) *attemptIDs {
	return &attemptIDs{prefix: string(instance) + "." + strconv.FormatUint(uint64(incarnation), 36) + "."}
}

func (a *attemptIDs) next() medlarwheel.AttemptID {
	return medlarwheel.AttemptID(a.prefix + strconv.FormatUint(a.last.Add(1), 36))
}
