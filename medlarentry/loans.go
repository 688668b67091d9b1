package medlarentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
	"medlarwheel/medlarupstream"
)

// loanMessages are the messages to one lender.
type loanMessages struct {
	requests []medlarupstream.LoanRequest
	renewals []medlarupstream.RenewalRequest
	returns  []medlarupstream.Return
}

// exchangeLoans sends the messages that the shares ask for, one call to each lender, and applies the answers.
func (d *Daemon) exchangeLoans(ctx context.Context) {
	byLender := make(map[medlarwheel.InstanceID]*loanMessages)
	of := func(lender medlarwheel.InstanceID) *loanMessages {
		if byLender[lender] == nil {
			byLender[lender] = &loanMessages{}
		}
		return byLender[lender]
	}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for _, r := range shares.NextReturns(now) {
			of(r.Lender).returns = append(of(r.Lender).returns, r)
		}
		for _, r := range shares.NextRenewalRequests(now) {
			of(r.Lender).renewals = append(of(r.Lender).renewals, r)
		}
		for _, r := range shares.NextLoanRequests(now) {
			of(r.Lender).requests = append(of(r.Lender).requests, r)
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

// handleLoanMessages answers the messages of a borrower.
func (d *Daemon) handleLoanMessages(borrower medlarwheel.InstanceID, request *peerpb.BorrowRequest) *peerpb.BorrowResponse {
	response := &peerpb.BorrowResponse{}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for _, id := range request.Returns {
			shares.Return(now, borrower, medlarupstream.Return{Lender: d.settings.Instance, Loan: loanIDFromWire(id)})
		}
		for _, r := range request.Renewals {
			reply := shares.Renew(now, borrower, medlarupstream.RenewalRequest{
				Nonce: r.Nonce, Lender: d.settings.Instance, Loan: loanIDFromWire(r.Loan), MaxRunTime: time.Duration(r.RunNs),
			})
			response.Renewed = append(response.Renewed, &peerpb.LoanRenewed{Nonce: reply.Nonce, Granted: reply.Granted, RunNs: int64(reply.MaxRunTime)})
		}
		for _, a := range request.Asks {
			reply := shares.Lend(now, borrower, medlarupstream.LoanRequest{
				Nonce: a.Nonce, Lender: d.settings.Instance, Service: medlarwheel.ServiceName(a.Service),
				Slots: medlarwheel.Slots(a.Slots), MaxRunTime: time.Duration(a.RunNs),
			})
			response.Grants = append(response.Grants, loanResponseToWire(reply))
		}
	})
	return response
}

func (m *loanMessages) toWire(borrower, lender medlarwheel.InstanceID) *peerpb.BorrowRequest {
	request := &peerpb.BorrowRequest{Instance: string(borrower), Lender: string(lender)}
	for _, a := range m.requests {
		request.Asks = append(request.Asks, &peerpb.LoanAsk{
			Nonce: a.Nonce, Service: string(a.Service), Slots: uint32(a.Slots), RunNs: int64(a.MaxRunTime),
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

func loanResponseToWire(reply medlarupstream.LoanResponse) *peerpb.LoanGrant {
	grant := &peerpb.LoanGrant{Nonce: reply.Nonce}
	for _, l := range reply.Loans {
		grant.Loans = append(grant.Loans, &peerpb.Loan{
			Id: loanIDToWire(l.ID), Upstream: string(l.Upstream), Slot: uint32(l.Slot), RunNs: int64(l.MaxRunTime),
		})
	}
	return grant
}

func loanResponseFromWire(lender medlarwheel.InstanceID, grant *peerpb.LoanGrant) medlarupstream.LoanResponse {
	reply := medlarupstream.LoanResponse{Nonce: grant.Nonce, Lender: lender}
	for _, l := range grant.Loans {
		reply.Loans = append(reply.Loans, medlarupstream.Loan{
			ID: loanIDFromWire(l.Id), Upstream: medlarwheel.UpstreamID(l.Upstream), Slot: int(l.Slot), MaxRunTime: time.Duration(l.RunNs),
		})
	}
	return reply
}

func loanIDToWire(id medlarupstream.LoanID) *peerpb.LoanId {
	return &peerpb.LoanId{Incarnation: uint64(id.Incarnation), Number: id.Number}
}

func loanIDFromWire(id *peerpb.LoanId) medlarupstream.LoanID {
	return medlarupstream.LoanID{Incarnation: medlarwheel.Incarnation(id.GetIncarnation()), Number: id.GetNumber()}
}
