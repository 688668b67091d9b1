package medlarplatform

import (
	"fmt"
	"sync/atomic"

	"medlarwheel"
)

// OperationIDGenerator generates operation ids that are unique across instances and their restarts, provided that every
// start of an instance has its own incarnation. It is safe for concurrent use.
type OperationIDGenerator struct {
	instance    medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
	counter     atomic.Uint64
}

// NewOperationIDGenerator returns a generator for one incarnation of an instance.
func NewOperationIDGenerator(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) *OperationIDGenerator {
	return &OperationIDGenerator{instance: instance, incarnation: incarnation}
}

// Next returns an operation id that has not been used before.
func (g *OperationIDGenerator) Next() medlarwheel.OperationID {
	return medlarwheel.OperationID(fmt.Sprintf("%s:%d:%d", g.instance, g.incarnation, g.counter.Add(1)))
}
