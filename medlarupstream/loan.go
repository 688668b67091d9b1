package medlarupstream

import (
	"time"

	"medlarwheel"
)

// LoanID identifies a loan of one lender. It contains the lender's incarnation, so that a message about a loan of an earlier
// process cannot free a slot of the current one.
type LoanID struct {
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Number      uint64                  `json:"number"`
}

// LoanRequest requests idle slots of a service from a lender.
type LoanRequest struct {
	// Nonce identifies the request. It increases with every request of a borrower.
	Nonce   uint64                  `json:"nonce"`
	Lender  medlarwheel.InstanceID  `json:"lender"`
	Service medlarwheel.ServiceName `json:"service"`
	Slots   medlarwheel.Slots       `json:"slots"`
	// MaxRunTime is how long a request that starts at the end of the loan's term may still run.
	MaxRunTime time.Duration `json:"run"`
}

// Loan is one slot that a lender has lent.
type Loan struct {
	ID       LoanID                 `json:"id"`
	Upstream medlarwheel.UpstreamID `json:"upstream"`
	Slot     int                    `json:"slot"`
	// MaxRunTime is the requested value, or a lower one if the lender cannot reserve the slot for that long.
	MaxRunTime time.Duration `json:"run"`
}

// LoanResponse is the response to the LoanRequest with the same nonce. It has no loans if the lender has no slot to lend.
type LoanResponse struct {
	Nonce  uint64                 `json:"nonce"`
	Lender medlarwheel.InstanceID `json:"lender"`
	Loans  []Loan                 `json:"loans,omitempty"`
}

// RenewalRequest requests another term of a loan.
type RenewalRequest struct {
	Nonce      uint64                 `json:"nonce"`
	Lender     medlarwheel.InstanceID `json:"lender"`
	Loan       LoanID                 `json:"loan"`
	MaxRunTime time.Duration          `json:"run"`
}

// RenewalResponse is the response to the RenewalRequest with the same nonce. Granted is false if the lender has recalled the
// loan, may not extend it or does not know it. No further request may then start on the loan.
type RenewalResponse struct {
	Nonce      uint64        `json:"nonce"`
	Granted    bool          `json:"granted"`
	MaxRunTime time.Duration `json:"run"`
}

// Return returns a borrowed slot to its lender.
type Return struct {
	Lender medlarwheel.InstanceID `json:"lender"`
	Loan   LoanID                 `json:"loan"`
}

// borrowedSlot is the state of a loan at the borrower.
type borrowedSlot struct {
	id     LoanID
	lender medlarwheel.InstanceID
	share  *share
	index  int
	// termEnd is the time before which requests may start, and latestDeadline the latest deadline that they may have. Both
	// count from before the loan request was sent and are reduced by SafetyMargin.
	termEnd        time.Time
	latestDeadline time.Time
	// recalled is set once no further request may start.
	recalled bool
	renewing bool
	busy     bool
	permitID uint64
	lastUsed time.Time
}

func (l *borrowedSlot) isUsable(now time.Time) bool {
	return !l.busy && !l.recalled && now.Before(l.termEnd)
}

// lentSlot is the state of a loan at the lender, which does not use the slot before reservedUntil unless it is returned.
type lentSlot struct {
	id            LoanID
	borrower      medlarwheel.InstanceID
	share         *share
	index         int
	reservedUntil time.Time
	recalled      bool
}
