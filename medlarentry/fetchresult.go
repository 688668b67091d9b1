package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarpeer/peerpb"
)

// resultWait is the time for which one request to a peer waits for the result of an attempt in progress.
const resultWait = time.Second

// fetchResult fetches the result of an attempt from the instance that holds its key. It repeats the request while the
// attempt is in progress, until ctx ends, and returns nil if it got no result.
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

func resultToWire(result *callResult, running bool) *peerpb.FetchAnswerResponse {
	if result == nil {
		return &peerpb.FetchAnswerResponse{Running: running}
	}
	if result.refusal != nil {
		return &peerpb.FetchAnswerResponse{Found: true, Outcome: string(result.refusal.Outcome), Reason: string(result.refusal.Reason)}
	}
	response := &peerpb.FetchAnswerResponse{
		Found: true, Outcome: string(medlarwheel.OutcomeDone), Status: uint32(result.status), Body: result.body,
	}
	for _, h := range result.headers {
		response.Headers = append(response.Headers, &peerpb.Header{Name: h.name, Value: h.value})
	}
	return response
}

func resultFromWire(response *peerpb.FetchAnswerResponse) *callResult {
	if outcome := medlarwheel.Outcome(response.Outcome); outcome != medlarwheel.OutcomeDone {
		return refusalResult(medlarwheel.Refusal{Outcome: outcome, Reason: medlarwheel.Reason(response.Reason), RetryAfter: defaultRetryAfter})
	}
	result := &callResult{status: int(response.Status), body: response.Body}
	for _, h := range response.Headers {
		result.headers = append(result.headers, responseHeader{h.Name, h.Value})
	}
	return result
}
