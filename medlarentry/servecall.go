package medlarentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// handleCall serves one call of a client.
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

// serveCall admits the request, claims its key if it must run at most once, and forwards it to an upstream.
func (d *Daemon) serveCall(c *call, request *fasthttp.Request) *callResult {
	admission := d.admissions.forService(c.template.Service.Upstream)
	admitted, refusal := admission.admit(c.admissionLane(), c.deadline)
	if refusal != nil {
		return d.refuse(c, *refusal)
	}
	defer admitted.release()
	admission.recordFirstAttempt()
	if !c.isAtMostOnce() {
		result, _ := d.forward(c, request, admission)
		return result
	}
	return d.serveAtMostOnce(c, request, admission)
}

// serveAtMostOnce claims the key and forwards the request. The attempt is added to the result cache before its first vote,
// so that a duplicate that is denied because of the vote finds it there.
func (d *Daemon) serveAtMostOnce(c *call, request *fasthttp.Request, admission *serviceAdmission) *callResult {
	d.results.start(c.attemptKey())
	decision := d.runBallot(medlarclaim.KindClaim, c)
	if decision.Kind == medlarclaim.DecisionGranted {
		c.sendUntil = decision.ValidUntil
		return d.forwardClaimed(c, request, admission)
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

// unsentRefusal returns the refusal for duplicates of an attempt that did not get its claim and has released its votes.
func unsentRefusal(decision medlarclaim.Decision) medlarwheel.Refusal {
	return medlarwheel.NotRun(medlarwheel.ReasonKeySealed, decision.Refusal.RetryAfter)
}

// forwardClaimed forwards a request whose key this attempt holds, and records the completion with the voters. If the request
// was not sent to any upstream, the key is released before the client gets the refusal.
func (d *Daemon) forwardClaimed(c *call, request *fasthttp.Request, admission *serviceAdmission) *callResult {
	result, sent := d.forward(c, request, admission)
	if !sent {
		d.runBallot(medlarclaim.KindRelease, c)
	}
	d.results.finish(c.attemptKey(), result, d.clock.Now())
	if sent {
		d.background(func() { d.runBallot(medlarclaim.KindComplete, c) })
	}
	return result
}

// refuse returns the refusal of a request that this attempt has not sent. For an at-most-once request the refusal must be
// true for every attempt with the key, so the key is sealed first.
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

// sealedResult returns the refusal if the ballot proved that no attempt with the key has run and that decision is still
// valid, and otherwise a refusal with the outcome that the ballot allows.
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

// serveDuplicate returns the result of the attempt that holds the key, if it can be obtained before the deadline, and
// otherwise the refusal that the key was already attempted.
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
		// The holder released the key without having sent its request, but a third attempt may have claimed the key since.
		return d.sealedResult(d.runBallot(medlarclaim.KindSeal, c), *found.refusal)
	}
	return found
}

func refusalResult(refusal medlarwheel.Refusal) *callResult { return &callResult{refusal: &refusal} }
