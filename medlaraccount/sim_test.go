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

// simulatedRequest is a request in the simulation. Its times are relative to simStart.
type simulatedRequest struct {
	id       medlaraccount.RequestID
	lane     medlaraccount.Lane
	arrived  time.Duration
	deadline time.Duration
	service  time.Duration
}

// policy is an admission policy. It calls start and refuse of the simulation for the requests that it is offered.
type policy interface {
	offer(s *simulation, r *simulatedRequest)
	done(s *simulation, r *simulatedRequest)
	tick(s *simulation)
	setCapacity(s *simulation, capacity int)
}

// arrivalStream is a Poisson stream of requests of one class, spread over a number of lanes. Its load is in multiples
// of the capacity.
type arrivalStream struct {
	class medlarwheel.Class
	load  float64
	lanes int
}

type event struct {
	at      time.Duration
	request *simulatedRequest
	// stream is the source of an arrival. An event without a stream is the end of request, or a tick if request is nil.
	stream *arrivalStream
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	simCapacity     = 65
	simServiceTime  = 100 * time.Millisecond
	simDuration     = 20 * time.Second
	simWarmUp       = 3 * time.Second
	simTickInterval = 5 * time.Millisecond
)

// classStats collects the results of one class after the warm-up.
type classStats struct {
	offered, onTime int
	onTimeService   time.Duration
	latencies       []time.Duration
	refusalDelays   []time.Duration
}

// share returns the part of the capacity that completed requests within their deadline.
func (c *classStats) share() float64 {
	return c.onTimeService.Seconds() / (simCapacity * (simDuration - simWarmUp).Seconds())
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

// simulate runs the streams against p for simDuration. With capacityDrops, the capacity is halved for 1 s in every 4 s.
func simulate(seed uint64, p policy, capacityDrops bool, deadline func(*rand.Rand) time.Duration, streams ...arrivalStream) map[medlarwheel.Class]*classStats {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), policy: p, deadline: deadline,
		requests: map[medlaraccount.RequestID]*simulatedRequest{}, classes: map[medlarwheel.Class]*classStats{}}
	for _, c := range medlarwheel.Classes() {
		s.classes[c] = &classStats{}
	}
	p.setCapacity(s, simCapacity)
	heap.Push(&s.events, event{})
	for i := range streams {
		heap.Push(&s.events, event{stream: &streams[i]})
	}
	var lastID medlaraccount.RequestID
	for s.events[0].at < simDuration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch {
		case e.stream != nil:
			lastID++
			s.arrive(e.stream, lastID)
		case e.request != nil:
			s.end(e.request)
		default:
			if phase := s.now % (4 * time.Second); capacityDrops && phase == 0 {
				p.setCapacity(s, simCapacity/2)
			} else if capacityDrops && phase == time.Second {
				p.setCapacity(s, simCapacity)
			}
			p.tick(s)
			heap.Push(&s.events, event{at: s.now + simTickInterval})
		}
	}
	return s.classes
}

func (s *simulation) arrive(stream *arrivalStream, id medlaraccount.RequestID) {
	rate := stream.load * simCapacity / simServiceTime.Seconds()
	heap.Push(&s.events, event{at: s.now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), stream: stream})
	account := medlarwheel.AccountID(string(stream.class) + "-" + string(rune('a'+s.random.IntN(stream.lanes))))
	const sigma = 0.5
	r := &simulatedRequest{id: id, arrived: s.now, deadline: s.now + s.deadline(s.random),
		lane:    medlaraccount.Lane{Template: "t", Account: account, Class: stream.class},
		service: time.Duration(math.Exp(s.random.NormFloat64()*sigma-sigma*sigma/2) * float64(simServiceTime))}
	s.requests[id] = r
	if s.now > simWarmUp {
		s.classes[stream.class].offered++
	}
	s.policy.offer(s, r)
}

func (s *simulation) start(r *simulatedRequest) {
	heap.Push(&s.events, event{at: s.now + r.service, request: r})
}

func (s *simulation) refuse(r *simulatedRequest) {
	delete(s.requests, r.id)
	if s.now > simWarmUp {
		c := s.classes[r.lane.Class]
		c.refusalDelays = append(c.refusalDelays, s.now-r.arrived)
	}
}

func (s *simulation) end(r *simulatedRequest) {
	delete(s.requests, r.id)
	if c := s.classes[r.lane.Class]; s.now > simWarmUp {
		c.latencies = append(c.latencies, s.now-r.arrived)
		if s.now <= r.deadline {
			c.onTime++
			c.onTimeService += r.service
		}
	}
	s.policy.done(s, r)
}

func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// admissionPolicy is the policy that uses an Admission.
type admissionPolicy struct {
	*medlaraccount.Admission
	guaranteed medlarwheel.Slots
	configured map[medlaraccount.Lane]bool
}

func newAdmissionPolicy(c medlaraccount.AdmissionConfig, guaranteed medlarwheel.Slots) *admissionPolicy {
	return &admissionPolicy{medlaraccount.NewAdmission(c), guaranteed, map[medlaraccount.Lane]bool{}}
}

func (p *admissionPolicy) offer(s *simulation, r *simulatedRequest) {
	if !p.configured[r.lane] {
		p.configured[r.lane] = true
		p.SetShare(r.lane, medlaraccount.Share{Guaranteed: p.guaranteed, Weight: 1, QueueLimit: 50})
	}
	switch p.Offer(s.wallClock(), medlaraccount.Request{ID: r.id, Lane: r.lane, Deadline: simStart.Add(r.deadline)}).Decision {
	case medlaraccount.Admitted:
		s.start(r)
	case medlaraccount.Refused:
		s.refuse(r)
	}
}

func (p *admissionPolicy) done(s *simulation, r *simulatedRequest) {
	p.Done(s.wallClock(), r.id, r.lane)
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

// fifoPolicy is a baseline that serves requests in order of arrival. With split, each class has a third of the capacity and
// its own queue of at most 50 requests. Without split, there is one unbounded queue.
type fifoPolicy struct {
	split    bool
	capacity int
	inFlight [3]int
	queues   [3][]*simulatedRequest
}

func (p *fifoPolicy) queueOf(r *simulatedRequest) int {
	if p.split {
		return r.lane.Class.Rank()
	}
	return 0
}

func (p *fifoPolicy) offer(s *simulation, r *simulatedRequest) {
	q := p.queueOf(r)
	if p.split && len(p.queues[q]) >= 50 {
		s.refuse(r)
		return
	}
	p.queues[q] = append(p.queues[q], r)
	p.tick(s)
}

func (p *fifoPolicy) done(s *simulation, r *simulatedRequest) {
	p.inFlight[p.queueOf(r)]--
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
