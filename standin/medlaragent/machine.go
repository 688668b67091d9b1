package medlaragent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// machine is the simulated worker. It does no I/O and reads no clock: now is the time since the start of the agent and
// must not run backwards.
type machine struct {
	config      Config
	started     time.Time
	incarnation medlarwheel.Incarnation
	now         time.Duration
	faults      Faults
	leaving     bool
	// tasks has the last attempt of each task, running or ended.
	tasks map[medlarwheel.TaskID]*task
	// endedTasks has the ids of ended tasks in order of their ends, to bound tasks.
	endedTasks    []medlarwheel.TaskID
	tokens        map[string]medlarwheel.FencingToken
	refusals      map[medlaragentapi.RefusalReason]int
	events        []Event
	droppedEvents int
	usage         usageLog
}

// task is the last attempt of a task.
type task struct {
	ref        medlaragentapi.TaskRef
	shard      string
	token      medlarwheel.FencingToken
	template   medlarwheel.TemplateName
	declared   medlarwheel.Resources
	actualNeed medlarwheel.Resources
	runTime    time.Duration // true run time at full speed, zero for endless
	progress   time.Duration
	leaseEnd   time.Duration
	failAt     time.Duration // zero for a task that does not fail
	share      int
	state      medlaragentapi.State
	object     string
	paused     bool // while its checkpoint is written
}

const (
	// failAfter is the time from the start of a task to its failure on a worker that fails every task.
	failAfter = 50 * time.Millisecond
	// maxEndedTasks bounds the ended tasks that are remembered to refuse late starts of them.
	maxEndedTasks = 100_000
)

func newMachine(config Config, started time.Time) *machine {
	return &machine{
		config: config, started: started, incarnation: medlarwheel.Incarnation(started.UnixMilli()),
		tasks: map[medlarwheel.TaskID]*task{}, tokens: map[string]medlarwheel.FencingToken{},
		refusals: map[medlaragentapi.RefusalReason]int{}, usage: newUsageLog(config),
	}
}

func (m *machine) clockReading() medlaragentapi.ClockReading {
	return medlaragentapi.ClockReading{Incarnation: m.incarnation, Uptime: medlarwheel.Duration(m.now)}
}

// advance runs the tasks up to now, ending each at the exact time at which its lease ends, its work is done or it fails.
func (m *machine) advance(now time.Duration) {
	for m.now < now {
		speeds := m.speeds()
		until, state, next := now, medlaragentapi.StateRunning, (*task)(nil)
		for _, t := range m.tasks {
			if t.state != medlaragentapi.StateRunning {
				continue
			}
			if at, ends := t.nextEnd(m.now, speeds[t]); at < until || next == nil && at == until {
				until, state, next = at, ends, t
			}
		}
		for t, speed := range speeds {
			t.progress += time.Duration(float64(until-m.now) * speed)
		}
		m.now = until
		if next != nil {
			if state == medlaragentapi.StateDone {
				next.progress = next.runTime
			}
			m.finish(next, state)
		}
	}
}

// nextEnd returns the time of the first end of t from now on at the given speed, and how it ends.
func (t *task) nextEnd(now time.Duration, speed float64) (time.Duration, medlaragentapi.State) {
	at, state := t.leaseEnd, medlaragentapi.StateExpired
	if t.failAt > 0 && t.failAt < at {
		at, state = t.failAt, medlaragentapi.StateFailed
	}
	if t.runTime > 0 && speed > 0 {
		// Rounded up, so that the time moves on with every step.
		left := time.Duration(float64(max(0, t.runTime-t.progress))/speed) + 1
		if done := now + left; done < at {
			at, state = done, medlaragentapi.StateDone
		}
	}
	return max(at, now), state
}

// finish ends the running attempt t at the present time.
func (m *machine) finish(t *task, state medlaragentapi.State) {
	t.state, t.paused = state, false
	m.recordEvent(m.now, EventEnd, t)
	m.queueForRemoval(t.ref.ID)
}

// queueForRemoval queues an ended task for removal, long after commands for it can still be on their way.
func (m *machine) queueForRemoval(id medlarwheel.TaskID) {
	m.endedTasks = append(m.endedTasks, id)
	if len(m.endedTasks) <= maxEndedTasks {
		return
	}
	oldest := m.endedTasks[0]
	m.endedTasks = m.endedTasks[1:]
	if t, ok := m.tasks[oldest]; ok && t.state != medlaragentapi.StateRunning {
		delete(m.tasks, oldest)
	}
}

// speeds returns the speed of each running task: its throttle, less what it loses to the demand of all tasks and to the
// templates beside it.
func (m *machine) speeds() map[*task]float64 {
	var demand float64
	speeds := make(map[*task]float64)
	for _, t := range m.tasks {
		if t.state == medlaragentapi.StateRunning {
			speeds[t] = 0
			demand += m.demand(t)
		}
	}
	supply := 1.0
	if capacity := float64(m.config.Size.CPU); demand > capacity {
		supply = capacity / demand
	}
	for t := range speeds {
		if t.paused {
			continue
		}
		speeds[t] = float64(t.share) / medlaragentapi.FullSpeed * supply * m.interference(t, speeds)
	}
	return speeds
}

// demand returns the processor that t asks for, in thousandths of a core.
func (m *machine) demand(t *task) float64 {
	demand := float64(t.actualNeed.CPU) * float64(t.share) / medlaragentapi.FullSpeed
	if m.faults.NoisyTask == t.ref.ID && m.faults.NoisyFactor > 0 {
		demand *= m.faults.NoisyFactor
	}
	if t.paused {
		return 0
	}
	return demand
}

// interference returns the share of speed that is left to t by the templates beside it.
func (m *machine) interference(t *task, running map[*task]float64) float64 {
	left := 1.0
	if m.config.Interference == 0 {
		return left
	}
	for other := range running {
		if other != t {
			left *= 1 - m.config.Interference*m.hashFraction("pair", string(t.template), string(other.template))
		}
	}
	return left
}

// hashFraction returns a fixed number from 0 to 1 for the words.
func (m *machine) hashFraction(words ...string) float64 {
	h := xxhash.NewWithSeed(m.config.Seed)
	for _, w := range words {
		_, _ = h.WriteString(w)
		_, _ = h.Write([]byte{0})
	}
	return float64(h.Sum64()>>11) / (1 << 53)
}

// actualFactor returns the factor by which a task's true need or run time differs from the declared one.
func (m *machine) actualFactor(what string, id medlarwheel.TaskID) float64 {
	return 1 + m.config.EstimateError*(2*m.hashFraction(what, string(id))-1)
}
