package medlarlease

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Order is a command to a worker's agent.
type Order interface {
	// Target is the worker that the command is for.
	Target() medlarwheel.WorkerID
}

// Start makes a worker run an attempt. It has no exported fields: Proof.Start is the only way to one that can be sent.
type Start struct {
	order StartOrder
}

// StartOrder is the content of a Start as a worker's agent receives it.
type StartOrder struct {
	Worker     medlarwheel.WorkerID      `json:"worker"`
	Attempt    medlarwheel.TaskAttempt   `json:"attempt"`
	Token      medlarwheel.FencingToken  `json:"token"`
	LeaseEnd   ClockReading              `json:"until"`
	Account    medlarwheel.AccountID     `json:"account"`
	Template   medlarwheel.TemplateName  `json:"template"`
	Class      medlarwheel.Class         `json:"class"`
	Size       medlarwheel.Resources     `json:"size"`
	ResumeFrom medlarwheel.AttemptNumber `json:"resume-from,omitempty"`
}

// Target returns the worker that is to run the attempt.
func (s Start) Target() medlarwheel.WorkerID { return s.order.Worker }

// Order returns the content of s.
func (s Start) Order() StartOrder { return s.order }

// MarshalJSON writes the content of s. It refuses a Start that was not made from a proof.
func (s Start) MarshalJSON() ([]byte, error) {
	if s.order.Worker == "" {
		return nil, errors.New("start without a proof")
	}
	return json.Marshal(s.order)
}

// Renew extends the leases of attempts on a worker. The agent answers with its clock and a report of each attempt.
// Without attempts it only asks for the clock.
type Renew struct {
	Worker medlarwheel.WorkerID `json:"worker"`
	// LeaseEnd is the new deadline. Zero only asks for reports, when the worker's clock is not known well enough.
	LeaseEnd ClockReading   `json:"until,omitzero"`
	Tasks    []RenewAttempt `json:"tasks,omitempty"`
}

// RenewAttempt names an attempt whose lease is renewed.
type RenewAttempt struct {
	Attempt medlarwheel.TaskAttempt  `json:"attempt"`
	Token   medlarwheel.FencingToken `json:"token"`
}

// Target returns the worker whose leases are renewed.
func (r Renew) Target() medlarwheel.WorkerID { return r.Worker }

// Checkpoint makes a worker save an attempt's state and end the attempt. The agent stops it without a checkpoint after
// the grace period.
type Checkpoint struct {
	Worker      medlarwheel.WorkerID     `json:"worker"`
	Attempt     medlarwheel.TaskAttempt  `json:"attempt"`
	Token       medlarwheel.FencingToken `json:"token"`
	GracePeriod medlarwheel.Duration     `json:"grace-period"`
}

// Target returns the worker that runs the attempt.
func (c Checkpoint) Target() medlarwheel.WorkerID { return c.Worker }

// Stop makes a worker end an attempt.
type Stop struct {
	Worker  medlarwheel.WorkerID     `json:"worker"`
	Attempt medlarwheel.TaskAttempt  `json:"attempt"`
	Token   medlarwheel.FencingToken `json:"token"`
}

// Target returns the worker that runs the attempt.
func (s Stop) Target() medlarwheel.WorkerID { return s.Worker }

// CheckpointObjectName returns the name of the object that holds the checkpoint of an attempt.
func CheckpointObjectName(attempt medlarwheel.TaskAttempt) string {
	return fmt.Sprintf("checkpoint/%s/%d", attempt.Task, attempt.Attempt)
}
