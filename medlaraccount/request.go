package medlaraccount

import (
	"time"

	"medlarwheel"
)

// RequestID identifies a request within one entry instance.
type RequestID uint64

// Lane identifies the queue of one template, client account and class.
type Lane struct {
	Template medlarwheel.TemplateName `json:"template"`
	Account  medlarwheel.AccountID    `json:"account"`
	Class    medlarwheel.Class        `json:"class"`
}

// Share holds the settings of one lane at this instance.
type Share struct {
	// Guaranteed is the number of requests in flight that the lane always gets.
	Guaranteed medlarwheel.Slots
	// Weight is the lane's share of what is lent within its class.
	Weight medlarwheel.Weight
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// QueueTimeout bounds the waiting time. Zero means the timeout of the configuration.
	QueueTimeout time.Duration
}

// Request is one request that asks for admission.
type Request struct {
	ID   RequestID
	Lane Lane
	// Deadline is the time by which the answer must be complete. The zero time sets no deadline.
	Deadline time.Time
	// Expected is the expected service time. Zero means the measured mean of the lane.
	Expected time.Duration
}

// Decision is the immediate result of an offered request.
type Decision int

// The decisions about an offered request.
const (
	// Refused means that the request is over and Refusal says why.
	Refused Decision = iota
	// Queued means that Next or Expire will name the request.
	Queued
	// Admitted means that the request may start now.
	Admitted
)

// Result is the decision about an offered request. Refusal is set only when the request is refused.
type Result struct {
	Decision Decision
	Refusal  medlarwheel.Refusal
}

// Grant names a queued request that may start now.
type Grant struct {
	ID     RequestID
	Lane   Lane
	Waited time.Duration
}

// Expired names a queued request that is refused.
type Expired struct {
	ID      RequestID
	Lane    Lane
	Waited  time.Duration
	Refusal medlarwheel.Refusal
}
