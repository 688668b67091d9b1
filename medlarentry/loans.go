package medlarentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
	"medlarwheel/medlarupstream"
)

// loanMessages holds the messages about slot loans to one lender.
type loanMessages struct {
	requests []medlarupstream.LoanRequest
	renewals []medlarupstream.RenewalRequest
	returns  []medlarupstream.Return
}

// exchangeLoans sends the pending messages about slot loans, in one call to each lender, and applies the responses.
func (d *Daemon) exchangeLoans(ctx context.Context) {
	byLender := make(map[medlarwheel.InstanceID]*loanMessages)
	messagesTo := func(lender medlarwheel.InstanceID) *loanMessages {
		if byLender[lender] == nil {
			byLender[lender] = &loanMessages{}
		}
		return byLender[lender]
	}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for _, r := range shares.NextReturns(now) {
			messagesTo(r.Lender).returns = append(messagesTo(r.Lender).returns, r)
		}
		for _, r := range shares.NextRenewalRequests(now) {
			messagesTo(r.Lender).renewals = append(messagesTo(r.Lender).renewals, r)
		}
		for _, r := range shares.NextLoanRequests(now) {
			messagesTo(r.Lender).requests = append(messagesTo(r.Lender).requests, r)
		}
	})
	var group errgroup.Group
	for lender, messages := range byLender {
		group.Go(func() error {
			d.sendLoanMessages(ctx, lender, messages)
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Daemon) sendLoanMessages(ctx context.Context, lender medlarwheel.InstanceID, m *loanMessages) {
	address, ok := d.snapshot.Load().peerAddress(lender)
	if !ok {
		return
	}
	limited, cancel := d.peers.Context(ctx)
	defer cancel()
	response, err := d.peers.Peer(address).Borrow(limited, m.toWire(d.settings.Instance, lender))
	if err != nil {
		d.metrics.count("peer-failure.borrow")
		return
	}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for _, grant := range response.Grants {
			shares.HandleLoanResponse(now, loanResponseFromWire(lender, grant))
		}
		for _, r := range response.Renewed {
			shares.HandleRenewalResponse(now, medlarupstream.RenewalResponse{Nonce: r.Nonce, Granted: r.Granted, MaxRunTime: time.Duration(r.RunNs)})
		}
	})
}

// handleLoanMessages applies the messages of a borrower and returns the response.
func (d *Daemon) handleLoanMessages(borrower medlarwheel.InstanceID, request *peerpb.BorrowRequest) *peerpb.BorrowResponse {
	response := &peerpb.BorrowResponse{}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for _, id := range request.Returns {
			shares.Return(now, borrower, medlarupstream.Return{Lender: d.settings.Instance, Loan: loanIDFromWire(id)})
		}
		for _, r := range request.Renewals {
			result := shares.Renew(now, borrower, medlarupstream.RenewalRequest{
				Nonce: r.Nonce, Lender: d.settings.Instance, Loan: loanIDFromWire(r.Loan), MaxRunTime: time.Duration(r.RunNs),
			})
			response.Renewed = append(response.Renewed, &peerpb.LoanRenewed{Nonce: result.Nonce, Granted: result.Granted, RunNs: int64(result.MaxRunTime)})
		}
		for _, r := range request.Asks {
			result := shares.Lend(now, borrower, medlarupstream.LoanRequest{
				Nonce: r.Nonce, Lender: d.settings.Instance, Service: medlarwheel.ServiceName(r.Service),
				Slots: medlarwheel.Slots(r.Slots), MaxRunTime: time.Duration(r.RunNs),
			})
			response.Grants = append(response.Grants, loanResponseToWire(result))
		}
	})
	return response
}

func (m *loanMessages) toWire(borrower, lender medlarwheel.InstanceID) *peerpb.BorrowRequest {
	request := &peerpb.BorrowRequest{Instance: string(borrower), Lender: string(lender)}
	for _, r := range m.requests {
		request.Asks = append(request.Asks, &peerpb.LoanAsk{
			Nonce: r.Nonce, Service: string(r.Service), Slots: uint32(r.Slots), RunNs: int64(r.MaxRunTime),
		})
	}
	for _, r := range m.renewals {
		request.Renewals = append(request.Renewals, &peerpb.LoanRenewal{Nonce: r.Nonce, Loan: loanIDToWire(r.Loan), RunNs: int64(r.MaxRunTime)})
	}
	for _, r := range m.returns {
		request.Returns = append(request.Returns, loanIDToWire(r.Loan))
	}
	return request
}

func loanResponseToWire(response medlarupstream.LoanResponse) *peerpb.LoanGrant {
	grant := &peerpb.LoanGrant{Nonce: response.Nonce}
	for _, l := range response.Loans {
		grant.Loans = append(grant.Loans, &peerpb.Loan{
			Id: loanIDToWire(l.ID), Upstream: string(l.Upstream), Slot: uint32(l.Slot), RunNs: int64(l.MaxRunTime),
		})
	}
	return grant
}

func loanResponseFromWire(lender medlarwheel.InstanceID, grant *peerpb.LoanGrant) medlarupstream.LoanResponse {
	response := medlarupstream.LoanResponse{Nonce: grant.Nonce, Lender: lender}
	for _, l := range grant.Loans {
		response.Loans = append(response.Loans, medlarupstream.Loan{
			ID: loanIDFromWire(l.Id), Upstream: medlarwheel.UpstreamID(l.Upstream), Slot: int(l.Slot), MaxRunTime: time.Duration(l.RunNs),
		})
	}
	return response
}

func loanIDToWire(id medlarupstream.LoanID) *peerpb.LoanId {
	return &peerpb.LoanId{Incarnation: uint64(id.Incarnation), Number: id.Number}
}

func loanIDFromWire(id *peerpb.LoanId) medlarupstream.LoanID {
	return medlarupstream.LoanID{Incarnation: medlarwheel.Incarnation(id.GetIncarnation()), Number: id.GetNumber()}
}
