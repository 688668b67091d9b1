package medlarentry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaraccount"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlartransport"
)

// CallPrefix begins the path of every call. The template's name and the upstream's path follow.
const CallPrefix = "/v1/call/"

// Headers of calls and their answers.
const (
	HeaderAccount    = "Medlar-Client-Account"
	HeaderDeadline   = "Medlar-Deadline"
	HeaderOutcome    = "Medlar-Outcome"
	HeaderReason     = "Medlar-Reason"
	HeaderRetryAfter = "Medlar-Retry-After"
)

const (
	// defaultAccount is the client account of requests that name none.
	defaultAccount medlarwheel.AccountID = "default"
	minDeadline                          = 10 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	template *medlarwheel.Template
	account  medlarwheel.AccountID
	// laneAccount is the account whose share the request counts against. All accounts without an entry share one, so that
	// made-up names get no more than that.
	laneAccount    medlarwheel.AccountID
	key            medlarwheel.RequestKey
	keyHash        medlarclaim.KeyHash
	keyCreatedAt   time.Time
	homeDataCentre medlarwheel.DataCentreID
	attempt        medlarwheel.AttemptID
	idempotent     bool
	arrivedAt      time.Time
	deadline       time.Time
	// sendUntil is when the claim on the key may no longer be acted on. It is zero for a request without a claim.
	sendUntil time.Time
	// upstreamPath is the path and query for the upstream.
	upstreamPath string
}

// isAtMostOnce reports whether the request must run at most once over all its attempts.
func (c *call) isAtMostOnce() bool { return !c.idempotent && c.key != "" }

func (c *call) admissionLane() medlaraccount.Lane {
	return medlaraccount.Lane{Template: c.template.Name, Account: c.laneAccount, Class: c.template.Class}
}

func (c *call) attemptKey() attemptKey {
	return attemptKey{key: c.keyHash, attempt: medlarclaim.HashAttempt(c.attempt)}
}

// parseCall reads a request. A refusal with faults is a bad request.
func (d *Daemon) parseCall(ctx *fasthttp.RequestCtx, s *snapshot) (*call, *medlarwheel.Refusal, medlarwheel.Faults) {
	now := d.clock.Now()
	rest := strings.TrimPrefix(string(ctx.Path()), CallPrefix)
	name, path, _ := strings.Cut(rest, "/")
	template, ok := s.config.Template(medlarwheel.TemplateName(name))
	if !ok || template.Service == nil {
		refusal := medlarwheel.NotRun(medlarwheel.ReasonUnknownTemplate, 0)
		return nil, &refusal, nil
	}
	c := &call{
		template:     template,
		account:      defaultAccount,
		attempt:      d.attempts.next(),
		idempotent:   template.Service.IsIdempotent(string(ctx.Method())),
		arrivedAt:    now,
		upstreamPath: "/" + path,
	}
	if query := ctx.QueryArgs(); query.Len() > 0 {
		c.upstreamPath += "?" + string(ctx.URI().QueryString())
	}
	faults := d.parseHeaders(ctx, c)
	c.laneAccount = defaultAccount
	if _, known := s.config.Account(c.account); known {
		c.laneAccount = c.account
	}
	if len(faults) > 0 {
		refusal := medlarwheel.NotRun(medlarwheel.ReasonBadRequest, 0)
		return nil, &refusal, faults
	}
	return c, nil, nil
}

func (d *Daemon) parseHeaders(ctx *fasthttp.RequestCtx, c *call) medlarwheel.Faults {
	var faults medlarwheel.Faults
	if account := string(ctx.Request.Header.Peek(HeaderAccount)); account != "" {
		faults = append(faults, medlarwheel.CheckName(HeaderAccount, account)...)
		c.account = medlarwheel.AccountID(account)
	}
	faults = append(faults, c.parseDeadline(string(ctx.Request.Header.Peek(HeaderDeadline)))...)
	key := medlarwheel.RequestKey(ctx.Request.Header.Peek(medlartransport.HeaderRequestKey))
	if key == "" {
		return faults
	}
	parts, keyFaults := medlarclaim.ParseKey(key)
	for _, fault := range keyFaults {
		fault.Path = medlartransport.HeaderRequestKey
		faults = append(faults, fault)
	}
	c.key = key
	c.keyHash = accountKeyHash(c.account, key)
	c.keyCreatedAt = parts.CreatedAt
	c.homeDataCentre = medlarclaim.HomeDataCentre(key, d.settings.DataCentres)
	return faults
}

func (c *call) parseDeadline(text string) medlarwheel.Faults {
	spec := c.template.Service
	if text == "" {
		c.deadline = c.arrivedAt.Add(spec.DefaultDeadline.Std())
		return nil
	}
	limit := spec.MaxDeadline.Std()
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted < minDeadline || wanted > limit {
		accepted := "a duration from " + minDeadline.String() + " to " + limit.String()
		return medlarwheel.Faults{{Path: HeaderDeadline, Value: text, Accepted: accepted}}
	}
	c.deadline = c.arrivedAt.Add(wanted)
	return nil
}

// accountKeyHash makes the keys of client accounts distinct, so that no account gets the answer of another one that chose
// the same key. Accounts and keys have no space.
func accountKeyHash(account medlarwheel.AccountID, key medlarwheel.RequestKey) medlarclaim.KeyHash {
	return medlarclaim.HashKey(medlarwheel.RequestKey(account) + " " + key)
}

// maySend reports whether the request may be sent to an upstream at now.
func (c *call) maySend(now time.Time) bool {
	return now.Before(c.deadline) && (c.sendUntil.IsZero() || now.Before(c.sendUntil))
}
