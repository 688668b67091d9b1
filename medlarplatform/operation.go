package medlarplatform

import (
	"fmt"
	"sync/atomic"

	"medlarwheel"
)

// Operations generates operation ids that are unique over all instances and their restarts, provided that every start
// of an instance has its own incarnation.
type Operations struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
	counter     atomic.Uint64
}

// NewOperations returns a generator for one start of an instance.
func NewOperations(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) *Operations {
	return &Operations{instance: instance, incarnation: incarnation}
}

// Next returns a new operation id.
func (o *Operations) Next() medlarwheel.OperationID {
	return medlarwheel.OperationID(fmt.Sprintf("%s:%d:%d", o.instance, o.incarnation, o.counter.Add(1)))
}
