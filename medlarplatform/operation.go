package medlarplatform

import (
	"fmt"
	"sync/atomic"

	"medlarwheel"
)

// OperationIDGenerator generates operation ids that are unique over all instances and their restarts, provided that every start
// of an instance has its own incarnation.
type OperationIDGenerator struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
	counter     atomic.Uint64
}

// NewOperationIDGenerator returns a generator for one start of an instance.
func NewOperationIDGenerator(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) *OperationIDGenerator {
	return &OperationIDGenerator{instance: instance, incarnation: incarnation}
}

// Next returns a new operation id.
func (o *OperationIDGenerator) Next() medlarwheel.OperationID {
	return medlarwheel.OperationID(fmt.Sprintf("%s:%d:%d", o.instance, o.incarnation, o.counter.Add(1)))
}
