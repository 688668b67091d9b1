package medlaraccount_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// simulatedRequest is one simulated request.
type simulatedRequest struct {
	id       medlaraccount.RequestID
	lane     medlaraccount.Lane
	arrived  time.Duration
	deadline time.Duration
	service  time.Duration
}

// policy admits jobs. It calls start and refuse of its simulation.
type policy interface {
	offer(s *simulation, j *simulatedRequest)
	done(s *simulation, j *simulatedRequest)
	tick(s *simulation)
	setCapacity(s *simulation, capacity int)
}

// arrivalStream is a Poisson stream of requests of one class, in multiples of the capacity.
type arrivalStream struct {
	class medlarwheel.Class
	load  float64
	lanes int
}

type event struct {
	at      time.Duration
	request *simulatedRequest
	// stream is the source of an arrival. Other events are ticks, or the end of job.
	stream *arrivalStream
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

const (
	simCapacity     = 65
	simServiceTime  = 100 * time.Millisecond
	simDuration     = 20 * time.Second
	simWarmUp       = 3 * time.Second
	simTickInterval = 5 * time.Millisecond
)

// classStats counts what one class got after the warm-up.
type classStats struct {
	offered, onTime int
	onTimeService   time.Duration
	latencies       []time.Duration
	refusalDelays   []time.Duration
}

// share is the part of the capacity that answered requests within their deadline.
func (t *classStats) share() float64 {
	return t.onTimeService.Seconds() / (simCapacity * (simDuration - simWarmUp).Seconds())
}

type simulation struct {
	random   *rand.Rand
	policy   policy
	now      time.Duration
	events   eventQueue
	requests map[medlaraccount.RequestID]*simulatedRequest
	classes  map[medlarwheel.Class]*classStats
	deadline func(*rand.Rand) time.Duration
}

var simStart = time.Unix(1_700_000_000, 0)

func (s *simulation) wallClock() time.Time { return simStart.Add(s.now) }

func fixedDeadline(*rand.Rand) time.Duration { return time.Second }

// simulate runs the sources against p for simLength. drops makes the capacity fall to a half for 1 s in every 4 s.
func simulate(seed uint64, p policy, drops bool, deadline func(*rand.Rand) time.Duration, sources ...arrivalStream) map[medlarwheel.Class]*classStats {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), policy: p, deadline: deadline,
		requests: map[medlaraccount.RequestID]*simulatedRequest{}, classes: map[medlarwheel.Class]*classStats{}}
	for _, c := range medlarwheel.Classes() {
		s.classes[c] = &classStats{}
	}
	p.setCapacity(s, simCapacity)
	heap.Push(&s.events, event{})
	for i := range sources {
		heap.Push(&s.events, event{stream: &sources[i]})
	}
	var ids medlaraccount.RequestID
	for s.events[0].at < simDuration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch {
		case e.stream != nil:
			ids++
			s.arrive(e.stream, ids)
		case e.request != nil:
			s.end(e.request)
		default:
			if half := s.now % (4 * time.Second); drops && half == 0 {
				p.setCapacity(s, simCapacity/2)
			} else if drops && half == time.Second {
				p.setCapacity(s, simCapacity)
			}
			p.tick(s)
			heap.Push(&s.events, event{at: s.now + simTickInterval})
		}
	}
	return s.classes
}

func (s *simulation) arrive(from *arrivalStream, id medlaraccount.RequestID) {
	rate := from.load * simCapacity / simServiceTime.Seconds()
	heap.Push(&s.events, event{at: s.now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), stream: from})
	account := medlarwheel.AccountID(string(from.class) + "-" + string(rune('a'+s.random.IntN(from.lanes))))
	const sigma = 0.5
	j := &simulatedRequest{id: id, arrived: s.now, deadline: s.now + s.deadline(s.random),
		lane:    medlaraccount.Lane{Template: "t", Account: account, Class: from.class},
		service: time.Duration(math.Exp(s.random.NormFloat64()*sigma-sigma*sigma/2) * float64(simServiceTime))}
	s.requests[id] = j
	if s.now > simWarmUp {
		s.classes[from.class].offered++
	}
	s.policy.offer(s, j)
}

func (s *simulation) start(j *simulatedRequest) {
	heap.Push(&s.events, event{at: s.now + j.service, request: j})
}

func (s *simulation) refuse(j *simulatedRequest) {
	delete(s.requests, j.id)
	if s.now > simWarmUp {
		t := s.classes[j.lane.Class]
		t.refusalDelays = append(t.refusalDelays, s.now-j.arrived)
	}
}

func (s *simulation) end(j *simulatedRequest) {
	delete(s.requests, j.id)
	if t := s.classes[j.lane.Class]; s.now > simWarmUp {
		t.latencies = append(t.latencies, s.now-j.arrived)
		if s.now <= j.deadline {
			t.onTime++
			t.onTimeService += j.service
		}
	}
	s.policy.done(s, j)
}

func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// admissionPolicy is Admission in the simulation.
type admissionPolicy struct {
	*medlaraccount.Admission
	guaranteed medlarwheel.Slots
	configured map[medlaraccount.Lane]bool
}

func newAdmissionPolicy(c medlaraccount.AdmissionConfig, guaranteed medlarwheel.Slots) *admissionPolicy {
	return &admissionPolicy{medlaraccount.NewAdmission(c), guaranteed, map[medlaraccount.Lane]bool{}}
}

func (p *admissionPolicy) offer(s *simulation, j *simulatedRequest) {
	if !p.configured[j.lane] {
		p.configured[j.lane] = true
		p.SetShare(j.lane, medlaraccount.Share{Guaranteed: p.guaranteed, Weight: 1, QueueLimit: 50})
	}
	switch p.Offer(s.wallClock(), medlaraccount.Request{ID: j.id, Lane: j.lane, Deadline: simStart.Add(j.deadline)}).Decision {
	case medlaraccount.Admitted:
		s.start(j)
	case medlaraccount.Refused:
		s.refuse(j)
	}
}

func (p *admissionPolicy) done(s *simulation, j *simulatedRequest) {
	p.Done(s.wallClock(), j.id, j.lane)
	p.wake(s)
}

func (p *admissionPolicy) tick(s *simulation) { p.wake(s) }

func (p *admissionPolicy) setCapacity(s *simulation, capacity int) {
	p.SetCapacity(s.wallClock(), medlarwheel.Slots(capacity))
}

func (p *admissionPolicy) wake(s *simulation) {
	for _, g := range p.Next(s.wallClock()) {
		s.start(s.requests[g.ID])
	}
	for _, e := range p.Expire(s.wallClock()) {
		s.refuse(s.requests[e.ID])
	}
}

// fifoPolicy is the baseline: first come, first served. With split, each class has a third of the capacity and a queue of
// 50; without, there is one queue without a limit.
type fifoPolicy struct {
	split    bool
	capacity int
	inFlight [3]int
	queues   [3][]*simulatedRequest
}

func (p *fifoPolicy) queueOf(j *simulatedRequest) int {
	if p.split {
		return j.lane.Class.Rank()
	}
	return 0
}

func (p *fifoPolicy) offer(s *simulation, j *simulatedRequest) {
	q := p.queueOf(j)
	if p.split && len(p.queues[q]) >= 50 {
		s.refuse(j)
		return
	}
	p.queues[q] = append(p.queues[q], j)
	p.tick(s)
}

func (p *fifoPolicy) done(s *simulation, j *simulatedRequest) {
	p.inFlight[p.queueOf(j)]--
	p.tick(s)
}

func (p *fifoPolicy) tick(s *simulation) {
	limit := p.capacity
	if p.split {
		limit /= len(p.queues)
	}
	for q := range p.queues {
		for p.inFlight[q] < limit && len(p.queues[q]) > 0 {
			s.start(p.queues[q][0])
			p.queues[q] = p.queues[q][1:]
			p.inFlight[q]++
		}
	}
}

func (p *fifoPolicy) setCapacity(_ *simulation, capacity int) { p.capacity = capacity }
