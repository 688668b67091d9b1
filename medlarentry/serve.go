package medlarentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// handleCall serves one request of a caller.
func (d *Daemon) handleCall(ctx *fasthttp.RequestCtx) {
	s := d.snapshot.Load()
	if !s.config.IsLoaded() {
		d.respond(ctx, nil, refusalResult(medlarwheel.NotRun(medlarwheel.ReasonNotReady, time.Second)))
		return
	}
	c, refusal, faults := d.parseCall(ctx, s)
	if refusal != nil {
		d.respond(ctx, nil, refusalResult(*refusal))
		if len(faults) > 0 {
			ctx.SetContentType(contentTypeJSON)
			ctx.SetBody(encodeFaults(faults))
		}
		return
	}
	d.respond(ctx, c, d.serveCall(c, &ctx.Request))
}

// serveCall admits the request, claims its key if it must run at most once, and runs it.
func (d *Daemon) serveCall(c *call, request *fasthttp.Request) *callResult {
	gate := d.admissions.forService(c.template.Service.Upstream)
	ticket, refusal := gate.admit(c.admissionLane(), c.deadline)
	if refusal != nil {
		return d.refuse(c, *refusal)
	}
	defer ticket.release()
	gate.recordFirstAttempt()
	if !c.isAtMostOnce() {
		result, _ := d.forward(c, request, gate)
		return result
	}
	return d.serveAtMostOnce(c, request, gate)
}

// serveAtMostOnce claims the key and runs the request. The attempt is recorded before its first vote, so that a duplicate
// that meets the vote finds it.
func (d *Daemon) serveAtMostOnce(c *call, request *fasthttp.Request, gate *serviceAdmission) *callResult {
	d.results.start(c.attemptKey())
	decision := d.runBallot(medlarclaim.KindClaim, c)
	if decision.Kind == medlarclaim.DecisionGranted {
		c.sendUntil = decision.ValidUntil
		return d.forwardClaimed(c, request, gate)
	}
	if len(decision.ReleaseTargets) > 0 {
		d.runBallot(medlarclaim.KindRelease, c)
	}
	d.results.finish(c.attemptKey(), refusalResult(unsentRefusal(decision)), d.clock.Now())
	switch {
	case decision.Kind == medlarclaim.DecisionHeld:
		return d.serveDuplicate(c, decision)
	case decision.Kind == medlarclaim.DecisionNotRun:
		return d.sealedResult(decision, decision.Refusal)
	case decision.Kind == medlarclaim.DecisionTimedOut || decision.Fenced:
		return d.refuse(c, medlarwheel.NotRun(medlarwheel.ReasonKeySealed, decision.Refusal.RetryAfter))
	default:
		return refusalResult(decision.Refusal)
	}
}

// unsentRefusal is what duplicates of an attempt without a claim are told: the attempt gave its votes back.
func unsentRefusal(decision medlarclaim.Decision) medlarwheel.Refusal {
	return medlarwheel.NotRun(medlarwheel.ReasonKeySealed, decision.Refusal.RetryAfter)
}

// forwardClaimed runs a request whose key this attempt holds, and records the end at the seats. An attempt that was never
// sent gives its key back before the caller is told to come back.
func (d *Daemon) forwardClaimed(c *call, request *fasthttp.Request, gate *serviceAdmission) *callResult {
	result, sent := d.forward(c, request, gate)
	if !sent {
		d.runBallot(medlarclaim.KindRelease, c)
	}
	d.results.finish(c.attemptKey(), result, d.clock.Now())
	if sent {
		d.background(func() { d.runBallot(medlarclaim.KindComplete, c) })
	}
	return result
}

// refuse gives a request up that has not been sent by this attempt. For a protected request the refusal must hold for
// every attempt of the key, so the key is sealed first.
func (d *Daemon) refuse(c *call, refusal medlarwheel.Refusal) *callResult {
	if !c.isAtMostOnce() {
		return refusalResult(refusal)
	}
	decision := d.runBallot(medlarclaim.KindSeal, c)
	if decision.Kind == medlarclaim.DecisionHeld {
		return d.serveDuplicate(c, decision)
	}
	return d.sealedResult(decision, refusal)
}

// sealedResult returns the refusal if the ballot proved that it is true for the key.
func (d *Daemon) sealedResult(decision medlarclaim.Decision, refusal medlarwheel.Refusal) *callResult {
	if decision.Kind != medlarclaim.DecisionNotRun {
		return refusalResult(decision.Refusal)
	}
	if !d.clock.Now().Before(decision.ValidUntil) {
		return refusalResult(medlarwheel.Unknown(medlarwheel.ReasonNoMajority, decision.Refusal.RetryAfter))
	}
	refusal.RetryAfter = max(refusal.RetryAfter, decision.Refusal.RetryAfter)
	return refusalResult(refusal)
}

// serveDuplicate answers an attempt whose key another attempt holds: with that attempt's answer if it can be had in time.
func (d *Daemon) serveDuplicate(c *call, decision medlarclaim.Decision) *callResult {
	ctx, cancel := context.WithDeadline(d.baseCtx, c.deadline)
	defer cancel()
	key := attemptKey{key: c.keyHash, attempt: decision.HolderAttempt}
	var found *callResult
	if decision.Holder == d.settings.Instance {
		found, _ = d.results.wait(ctx, key)
	} else {
		found = d.fetchResult(ctx, decision.Holder, key)
	}
	if found == nil {
		return refusalResult(medlarwheel.Unknown(medlarwheel.ReasonAlreadyAttempted, decision.Refusal.RetryAfter))
	}
	if found.refusal != nil && found.refusal.Outcome == medlarwheel.OutcomeNotRun {
		// The holder never sent its request and gave the key back, but a third attempt may have claimed it since.
		return d.sealedResult(d.runBallot(medlarclaim.KindSeal, c), *found.refusal)
	}
	return found
}

func refusalResult(refusal medlarwheel.Refusal) *callResult { return &callResult{refusal: &refusal} }
