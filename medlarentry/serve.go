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
	if !s.book.IsLoaded() {
		d.respond(ctx, nil, refused(medlarwheel.NotRun(medlarwheel.ReasonNotReady, time.Second)))
		return
	}
	c, refusal, faults := d.parseCall(ctx, s)
	if refusal != nil {
		d.respond(ctx, nil, refused(*refusal))
		if len(faults) > 0 {
			ctx.SetContentType(contentTypeJSON)
			ctx.SetBody(encodeFaults(faults))
		}
		return
	}
	d.respond(ctx, c, d.serve(c, &ctx.Request))
}

// serve admits the request, claims its key if it must run at most once, and runs it.
func (d *Daemon) serve(c *call, request *fasthttp.Request) *answer {
	gate := d.gates.of(c.template.Service.Upstream)
	ticket, refusal := gate.enter(c.lane(), c.deadline)
	if refusal != nil {
		return d.refuse(c, *refusal)
	}
	defer ticket.leave()
	gate.fresh()
	if !c.isProtected() {
		result, _ := d.run(c, request, gate)
		return result
	}
	return d.serveProtected(c, request, gate)
}

// serveProtected claims the key and runs the request. The attempt is recorded before its first vote, so that a duplicate
// that meets the vote finds it.
func (d *Daemon) serveProtected(c *call, request *fasthttp.Request, gate *gate) *answer {
	d.answers.begin(c.answerKey())
	decision := d.ballot(medlarclaim.KindClaim, c)
	if decision.Kind == medlarclaim.DecisionGranted {
		c.sendUntil = decision.ValidUntil
		return d.runClaimed(c, request, gate)
	}
	if len(decision.ReleaseTargets) > 0 {
		d.ballot(medlarclaim.KindRelease, c)
	}
	d.answers.finish(c.answerKey(), refused(neverSent(decision)), d.clock.Now())
	switch {
	case decision.Kind == medlarclaim.DecisionHeld:
		return d.duplicate(c, decision)
	case decision.Kind == medlarclaim.DecisionNotRun:
		return d.sealed(decision, decision.Refusal)
	case decision.Kind == medlarclaim.DecisionTimedOut || decision.Fenced:
		return d.refuse(c, medlarwheel.NotRun(medlarwheel.ReasonKeySealed, decision.Refusal.RetryAfter))
	default:
		return refused(decision.Refusal)
	}
}

// neverSent is what duplicates of an attempt without a claim are told: the attempt gave its votes back.
func neverSent(decision medlarclaim.Decision) medlarwheel.Refusal {
	return medlarwheel.NotRun(medlarwheel.ReasonKeySealed, decision.Refusal.RetryAfter)
}

// runClaimed runs a request whose key this attempt holds, and records the end at the seats. An attempt that was never
// sent gives its key back before the caller is told to come back.
func (d *Daemon) runClaimed(c *call, request *fasthttp.Request, gate *gate) *answer {
	result, sent := d.run(c, request, gate)
	if !sent {
		d.ballot(medlarclaim.KindRelease, c)
	}
	d.answers.finish(c.answerKey(), result, d.clock.Now())
	if sent {
		d.background(func() { d.ballot(medlarclaim.KindComplete, c) })
	}
	return result
}

// refuse gives a request up that has not been sent by this attempt. For a protected request the refusal must hold for
// every attempt of the key, so the key is sealed first.
func (d *Daemon) refuse(c *call, refusal medlarwheel.Refusal) *answer {
	if !c.isProtected() {
		return refused(refusal)
	}
	decision := d.ballot(medlarclaim.KindSeal, c)
	if decision.Kind == medlarclaim.DecisionHeld {
		return d.duplicate(c, decision)
	}
	return d.sealed(decision, refusal)
}

// sealed returns the refusal if the ballot proved that it is true for the key.
func (d *Daemon) sealed(decision medlarclaim.Decision, refusal medlarwheel.Refusal) *answer {
	if decision.Kind != medlarclaim.DecisionNotRun {
		return refused(decision.Refusal)
	}
	if !d.clock.Now().Before(decision.ValidUntil) {
		return refused(medlarwheel.Unknown(medlarwheel.ReasonNoMajority, decision.Refusal.RetryAfter))
	}
	refusal.RetryAfter = max(refusal.RetryAfter, decision.Refusal.RetryAfter)
	return refused(refusal)
}

// duplicate answers an attempt whose key another attempt holds: with that attempt's answer if it can be had in time.
func (d *Daemon) duplicate(c *call, decision medlarclaim.Decision) *answer {
	ctx, cancel := context.WithDeadline(d.base, c.deadline)
	defer cancel()
	key := answerKey{key: c.hash, attempt: decision.HolderAttempt}
	var found *answer
	if decision.Holder == d.settings.Instance {
		found, _ = d.answers.wait(ctx, key)
	} else {
		found = d.fetchAnswer(ctx, decision.Holder, key)
	}
	if found == nil {
		return refused(medlarwheel.Unknown(medlarwheel.ReasonAlreadyAttempted, decision.Refusal.RetryAfter))
	}
	if found.refusal != nil && found.refusal.Outcome == medlarwheel.OutcomeNotRun {
		// The holder never sent its request and gave the key back, but a third attempt may have claimed it since.
		return d.sealed(d.ballot(medlarclaim.KindSeal, c), *found.refusal)
	}
	return found
}

func refused(refusal medlarwheel.Refusal) *answer { return &answer{refusal: &refusal} }
