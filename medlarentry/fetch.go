package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
)

// resultWait is the time that one question for an answer waits for a running attempt.
const resultWait = time.Second

// fetchResult asks the instance that holds a key for the answer, until ctx ends. It returns nil when there is none.
func (d *Daemon) fetchResult(ctx context.Context, holder medlarwheel.InstanceID, key attemptKey) *callResult {
	for ctx.Err() == nil {
		address, ok := d.snapshot.Load().peerAddress(holder)
		if !ok {
			return nil
		}
		response, err := d.fetchResultOnce(ctx, address, key)
		if err != nil {
			d.metrics.count("peer-failure.fetch-answer")
			return nil
		}
		if response.Found {
			return resultFromWire(response)
		}
		if !response.Running {
			return nil
		}
	}
	return nil
}

func (d *Daemon) fetchResultOnce(ctx context.Context, address string, key attemptKey) (*peerpb.FetchAnswerResponse, error) {
	wait := resultWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(d.clock.Now()))
	}
	limited, cancel := context.WithTimeout(ctx, wait+d.settings.PeerTimeout)
	defer cancel()
	return d.peers.Peer(address).FetchAnswer(limited, &peerpb.FetchAnswerRequest{
		Key: key.key[:], Attempt: uint64(key.attempt), WaitNs: int64(wait),
	})
}

func resultToWire(a *callResult, running bool) *peerpb.FetchAnswerResponse {
	if a == nil {
		return &peerpb.FetchAnswerResponse{Running: running}
	}
	if a.refusal != nil {
		return &peerpb.FetchAnswerResponse{Found: true, Outcome: string(a.refusal.Outcome), Reason: string(a.refusal.Reason)}
	}
	response := &peerpb.FetchAnswerResponse{
		Found: true, Outcome: string(medlarwheel.OutcomeDone), Status: uint32(a.status), Body: a.body,
	}
	for _, h := range a.headers {
		response.Headers = append(response.Headers, &peerpb.Header{Name: h.name, Value: h.value})
	}
	return response
}

func resultFromWire(response *peerpb.FetchAnswerResponse) *callResult {
	if outcome := medlarwheel.Outcome(response.Outcome); outcome != medlarwheel.OutcomeDone {
		return refusalResult(medlarwheel.Refusal{Outcome: outcome, Reason: medlarwheel.Reason(response.Reason), RetryAfter: defaultRetryAfter})
	}
	a := &callResult{status: int(response.Status), body: response.Body}
	for _, h := range response.Headers {
		a.headers = append(a.headers, responseHeader{h.Name, h.Value})
	}
	return a
}
