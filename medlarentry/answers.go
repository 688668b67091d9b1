package medlarentry

import (
	"context"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

const (
	// maxCachedResultBytes bounds the recorded answers of an instance.
	maxCachedResultBytes = 16 << 20
	// resultRetention is the time that a recorded answer is kept for duplicate attempts.
	resultRetention = 30 * time.Second
	// resultOverheadBytes is counted for each record besides its body, in bytes.
	resultOverheadBytes = 512
)

// responseHeader is one header of a recorded answer.
type responseHeader struct {
	name, value string
}

// callResult is what a request key's attempt ended with. Exactly one of the forms applies: an upstream's answer when
// refusal is nil, else the refusal.
type callResult struct {
	status  int
	headers []responseHeader
	body    []byte
	refusal *medlarwheel.Refusal
}

func (a *callResult) sizeBytes() int { return resultOverheadBytes + len(a.body) }

// attemptKey identifies one attempt of one request key.
type attemptKey struct {
	key     medlarclaim.KeyHash
	attempt medlarclaim.AttemptHash
}

type resultRecord struct {
	done   chan struct{}
	result *callResult
}

type finishedAttempt struct {
	key        attemptKey
	finishedAt time.Time
	sizeBytes  int
}

// resultCache keeps the answers of recent non-idempotent requests, so that a duplicate attempt gets the answer of the
// attempt that ran. It is bounded in bytes and in time.
type resultCache struct {
	mu         sync.Mutex
	records    map[attemptKey]*resultRecord
	finished   []finishedAttempt
	totalBytes int
}

func newResultCache() *resultCache {
	return &resultCache{records: make(map[attemptKey]*resultRecord)}
}

// start records that the attempt holds its key and is about to run.
func (a *resultCache) start(key attemptKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records[key] = &resultRecord{done: make(chan struct{})}
}

// finish records the answer and wakes the duplicates that wait for it.
func (a *resultCache) finish(key attemptKey, result *callResult, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record, ok := a.records[key]
	if !ok {
		return
	}
	record.result = result
	close(record.done)
	a.totalBytes += result.sizeBytes()
	a.finished = append(a.finished, finishedAttempt{key: key, finishedAt: now, sizeBytes: result.sizeBytes()})
	a.trim(now)
}

// trim drops the oldest answers that are too old or do not fit.
func (a *resultCache) trim(now time.Time) {
	dropped := 0
	for _, f := range a.finished {
		if now.Sub(f.finishedAt) <= resultRetention && a.totalBytes <= maxCachedResultBytes {
			break
		}
		delete(a.records, f.key)
		a.totalBytes -= f.sizeBytes
		dropped++
	}
	if dropped > 0 {
		a.finished = append(a.finished[:0], a.finished[dropped:]...)
	}
}

// expire drops the answers that are too old.
func (a *resultCache) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trim(now)
}

// wait returns the answer of the attempt, waiting for it while it runs. It returns nil when the attempt is not known
// here, and reports whether the attempt still runs when ctx ends.
func (a *resultCache) wait(ctx context.Context, key attemptKey) (result *callResult, running bool) {
	a.mu.Lock()
	record, ok := a.records[key]
	a.mu.Unlock()
	if !ok {
		return nil, false
	}
	select {
	case <-record.done:
		return record.result, false
	case <-ctx.Done():
		return nil, true
	}
}
