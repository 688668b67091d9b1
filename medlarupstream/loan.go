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
	// MaxRunTime bounds the time that a request started at the end of the loan's term may still run.
	MaxRunTime time.Duration `json:"run"`
}

// Loan is one slot that a lender gives.
type Loan struct {
	ID       LoanID                 `json:"id"`
	Upstream medlarwheel.UpstreamID `json:"upstream"`
	Slot     int                    `json:"slot"`
	// MaxRunTime is the requested bound, or less if the lender cannot reserve the slot for so long.
	MaxRunTime time.Duration `json:"run"`
}

// LoanResponse answers the LoanRequest with the same nonce. Without loans the lender has nothing to give.
type LoanResponse struct {
	Nonce  uint64                 `json:"nonce"`
	Lender medlarwheel.InstanceID `json:"lender"`
	Loans  []Loan                 `json:"loans,omitempty"`
}

// RenewalRequest asks for a further term of a loan.
type RenewalRequest struct {
	Nonce      uint64                 `json:"nonce"`
	Lender     medlarwheel.InstanceID `json:"lender"`
	Loan       LoanID                 `json:"loan"`
	MaxRunTime time.Duration          `json:"run"`
}

// RenewalResponse answers the Renewal with the same nonce. Granted is false when the lender wants the slot back or does not
// know the loan: no further request may start on it.
type RenewalResponse struct {
	Nonce      uint64        `json:"nonce"`
	Granted    bool          `json:"granted"`
	MaxRunTime time.Duration `json:"run"`
}

// Return gives a slot back.
type Return struct {
	Lender medlarwheel.InstanceID `json:"lender"`
	Loan   LoanID                 `json:"loan"`
}

// borrowedSlot is a borrowed slot.
type borrowedSlot struct {
	id     LoanID
	lender medlarwheel.InstanceID
	share  *share
	index  int
	// termEnd is the end of the term in which requests may start, and endBy the time by which they must end. Both count
	// from before the request for the loan was sent, less the guard.
	termEnd        time.Time
	latestDeadline time.Time
	// recalled forbids further starts.
	recalled bool
	renewing bool
	busy     bool
	permitID uint64
	lastUsed time.Time
}

func (l *borrowedSlot) isUsable(now time.Time) bool {
	return !l.busy && !l.recalled && now.Before(l.termEnd)
}

// lentSlot is a lent slot. The lender does not use the slot before until, unless the borrower returns it.
type lentSlot struct {
	id            LoanID
	borrower      medlarwheel.InstanceID
	share         *share
	index         int
	reservedUntil time.Time
	recalled      bool
}
