package medlarupstream

import (
	"time"

	"medlarwheel"
)

// LoanID identifies a loan of one lender. It carries the lender's incarnation, so that a message about a loan of an
// earlier process cannot free a slot of the present one.
type LoanID struct {
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Number      uint64                  `json:"number"`
}

// LoanRequest asks a lender for idle slots of a service.
type LoanRequest struct {
	// Nonce identifies the request. It grows with every request of a borrower.
	Nonce   uint64                  `json:"nonce"`
	Lender  medlarwheel.InstanceID  `json:"lender"`
	Service medlarwheel.ServiceName `json:"service"`
	Slots   medlarwheel.Slots       `json:"slots"`
	// Run bounds the time that a request started at the end of the loan's term may still run.
	Run time.Duration `json:"run"`
}

// Loan is one slot that a lender gives.
type Loan struct {
	ID       LoanID                 `json:"id"`
	Upstream medlarwheel.UpstreamID `json:"upstream"`
	Slot     int                    `json:"slot"`
	// Run is the requested bound, or less if the lender cannot reserve the slot for so long.
	Run time.Duration `json:"run"`
}

// LoanReply answers the LoanRequest with the same nonce. Without loans the lender has nothing to give.
type LoanReply struct {
	Nonce  uint64                 `json:"nonce"`
	Lender medlarwheel.InstanceID `json:"lender"`
	Loans  []Loan                 `json:"loans,omitempty"`
}

// Renewal asks for a further term of a loan.
type Renewal struct {
	Nonce  uint64                 `json:"nonce"`
	Lender medlarwheel.InstanceID `json:"lender"`
	Loan   LoanID                 `json:"loan"`
	Run    time.Duration          `json:"run"`
}

// RenewalReply answers the Renewal with the same nonce. Granted is false when the lender wants the slot back or does not
// know the loan: no further request may start on it.
type RenewalReply struct {
	Nonce   uint64        `json:"nonce"`
	Granted bool          `json:"granted"`
	Run     time.Duration `json:"run"`
}

// Return gives a slot back.
type Return struct {
	Lender medlarwheel.InstanceID `json:"lender"`
	Loan   LoanID                 `json:"loan"`
}

// loan is a borrowed slot.
type loan struct {
	id     LoanID
	lender medlarwheel.InstanceID
	share  *share
	index  int
	// startUntil is the end of the term in which requests may start, and endBy the time by which they must end. Both count
	// from before the request for the loan was sent, less the guard.
	startUntil time.Time
	endBy      time.Time
	// recalled forbids further starts.
	recalled bool
	renewing bool
	busy     bool
	serial   uint64
	lastUsed time.Time
}

func (l *loan) usable(now time.Time) bool { return !l.busy && !l.recalled && now.Before(l.startUntil) }

// lending is a lent slot. The lender does not use the slot before until, unless the borrower returns it.
type lending struct {
	id       LoanID
	borrower medlarwheel.InstanceID
	share    *share
	index    int
	until    time.Time
	recalled bool
}
