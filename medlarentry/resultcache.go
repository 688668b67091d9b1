package medlarentry

import (
	"context"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

const (
	// maxCachedResultBytes bounds the memory of the cached results of an instance.
	maxCachedResultBytes = 16 << 20
	// resultRetention is the time for which a result is kept for duplicate attempts.
	resultRetention = 30 * time.Second
	// resultOverheadBytes is counted for each result in addition to its body.
	resultOverheadBytes = 512
)

// responseHeader is one header of a cached response.
type responseHeader struct {
	name, value string
}

// callResult is the result of one attempt: the response of an upstream if refusal is nil, and the refusal otherwise.
type callResult struct {
	status  int
	headers []responseHeader
	body    []byte
	refusal *medlarwheel.Refusal
}

func (r *callResult) sizeBytes() int { return resultOverheadBytes + len(r.body) }

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

// resultCache keeps the results of recent non-idempotent requests, so that a duplicate attempt gets the result of the
// attempt that was forwarded. It is bounded in bytes and in time.
type resultCache struct {
	mu         sync.Mutex
	records    map[attemptKey]*resultRecord
	finished   []finishedAttempt
	totalBytes int
}

func newResultCache() *resultCache {
	return &resultCache{records: make(map[attemptKey]*resultRecord)}
}

// start records that the attempt is in progress.
func (c *resultCache) start(key attemptKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[key] = &resultRecord{done: make(chan struct{})}
}

// finish records the result and wakes the duplicate attempts that wait for it.
func (c *resultCache) finish(key attemptKey, result *callResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[key]
	if !ok {
		return
	}
	record.result = result
	close(record.done)
	c.totalBytes += result.sizeBytes()
	c.finished = append(c.finished, finishedAttempt{key: key, finishedAt: now, sizeBytes: result.sizeBytes()})
	c.trim(now)
}

// trim evicts the oldest results while one is past its retention time or the cache exceeds its size. The caller holds
// the lock.
func (c *resultCache) trim(now time.Time) {
	dropped := 0
	for _, f := range c.finished {
		if now.Sub(f.finishedAt) <= resultRetention && c.totalBytes <= maxCachedResultBytes {
			break
		}
		delete(c.records, f.key)
		c.totalBytes -= f.sizeBytes
		dropped++
	}
	if dropped > 0 {
		c.finished = append(c.finished[:0], c.finished[dropped:]...)
	}
}

// expire evicts the results that are past their retention time.
func (c *resultCache) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trim(now)
}

// wait returns the result of the attempt and blocks while the attempt is in progress. It returns nil if the attempt is
// not in the cache or has not ended when ctx ends; running distinguishes the two cases.
func (c *resultCache) wait(ctx context.Context, key attemptKey) (result *callResult, running bool) {
	c.mu.Lock()
	record, ok := c.records[key]
	c.mu.Unlock()
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
