package medlarentry

import (
	"context"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

const (
	// maxAnswerBytes bounds the recorded answers of an instance.
	maxAnswerBytes = 16 << 20
	// answerRetention is the time that a recorded answer is kept for duplicate attempts.
	answerRetention = 30 * time.Second
	// answerOverhead is counted for each record besides its body, in bytes.
	answerOverhead = 512
)

// headerField is one header of a recorded answer.
type headerField struct {
	name, value string
}

// answer is what a request key's attempt ended with. Exactly one of the forms applies: an upstream's answer when
// refusal is nil, else the refusal.
type answer struct {
	status  int
	headers []headerField
	body    []byte
	refusal *medlarwheel.Refusal
}

func (a *answer) size() int { return answerOverhead + len(a.body) }

// answerKey identifies one attempt of one request key.
type answerKey struct {
	key     medlarclaim.KeyHash
	attempt medlarclaim.AttemptHash
}

type answerRecord struct {
	done   chan struct{}
	answer *answer
}

type finishedAnswer struct {
	key  answerKey
	at   time.Time
	size int
}

// answers keeps the answers of recent non-idempotent requests, so that a duplicate attempt gets the answer of the
// attempt that ran. It is bounded in bytes and in time.
type answers struct {
	mu       sync.Mutex
	records  map[answerKey]*answerRecord
	finished []finishedAnswer
	bytes    int
}

func newAnswers() *answers {
	return &answers{records: make(map[answerKey]*answerRecord)}
}

// begin records that the attempt holds its key and is about to run.
func (a *answers) begin(key answerKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records[key] = &answerRecord{done: make(chan struct{})}
}

// finish records the answer and wakes the duplicates that wait for it.
func (a *answers) finish(key answerKey, result *answer, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record, ok := a.records[key]
	if !ok {
		return
	}
	record.answer = result
	close(record.done)
	a.bytes += result.size()
	a.finished = append(a.finished, finishedAnswer{key: key, at: now, size: result.size()})
	a.trim(now)
}

// trim drops the oldest answers that are too old or do not fit.
func (a *answers) trim(now time.Time) {
	dropped := 0
	for _, f := range a.finished {
		if now.Sub(f.at) <= answerRetention && a.bytes <= maxAnswerBytes {
			break
		}
		delete(a.records, f.key)
		a.bytes -= f.size
		dropped++
	}
	if dropped > 0 {
		a.finished = append(a.finished[:0], a.finished[dropped:]...)
	}
}

// expire drops the answers that are too old.
func (a *answers) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trim(now)
}

// wait returns the answer of the attempt, waiting for it while it runs. It returns nil when the attempt is not known
// here, and reports whether the attempt still runs when ctx ends.
func (a *answers) wait(ctx context.Context, key answerKey) (result *answer, running bool) {
	a.mu.Lock()
	record, ok := a.records[key]
	a.mu.Unlock()
	if !ok {
		return nil, false
	}
	select {
	case <-record.done:
		return record.answer, false
	case <-ctx.Done():
		return nil, true
	}
}
