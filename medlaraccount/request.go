package medlaraccount

import (
	"time"

	"medlarwheel"
)

// RequestID identifies a request within one entry instance.
type RequestID uint64

// Lane identifies the requests of one template, client account and class, which share a queue.
type Lane struct {
	Template medlarwheel.TemplateName `json:"template"`
	Account  medlarwheel.AccountID    `json:"account"`
	Class    medlarwheel.Class        `json:"class"`
}

// Share holds the settings of one lane at this instance.
type Share struct {
	// Guaranteed is the number of requests in flight that is reserved for the lane.
	Guaranteed medlarwheel.Slots
	// Weight is the lane's weight when capacity is lent within its class.
	Weight medlarwheel.Weight
	// QueueLimit bounds the number of waiting requests.
	QueueLimit int
	// QueueTimeout bounds the waiting time. Zero selects AdmissionConfig.QueueTimeout.
	QueueTimeout time.Duration
}

// Request is a request for admission.
type Request struct {
	ID   RequestID
	Lane Lane
	// Deadline is the time by which the response must be complete. The zero time means no deadline.
	Deadline time.Time
	// Expected is the expected service time. Zero selects the measured mean of the lane.
	Expected time.Duration
}

// Decision is the immediate outcome of Offer.
type Decision int

// Decisions of Offer.
const (
	// Refused means that the request is rejected for the reason in Result.Refusal.
	Refused Decision = iota
	// Queued means that a later call of Next or Expire returns the request, unless it is cancelled.
	Queued
	// Admitted means that the request may start now.
	Admitted
)

// Result is the result of Offer. Refusal is set only if Decision is Refused.
type Result struct {
	Decision Decision
	Refusal  medlarwheel.Refusal
}

// Grant is a queued request that may start now.
type Grant struct {
	ID     RequestID
	Lane   Lane
	Waited time.Duration
}

// Expired is a queued request that is refused.
type Expired struct {
	ID      RequestID
	Lane    Lane
	Waited  time.Duration
	Refusal medlarwheel.Refusal
}
