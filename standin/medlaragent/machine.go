package medlaragent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// machine is the state machine of the simulated worker. It does no I/O and reads no clock: now is the time since the start
// of the agent and must not decrease.
type machine struct {
	config      Config
	started     time.Time
	incarnation medlarwheel.Incarnation
	now         time.Duration
	faults      Faults
	leaving     bool
	// tasks holds the last attempt of each task, running or ended.
	tasks map[medlarwheel.TaskID]*task
	// endedTasks holds the ids of ended tasks in the order of their ends, to limit the size of tasks.
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
	runTime    time.Duration // actual run time at full speed, zero if unlimited
	progress   time.Duration
	leaseEnd   time.Duration
	failAt     time.Duration // zero if the task does not fail
	share      int
	state      medlaragentapi.State
	object     string
	paused     bool // while its checkpoint is written
}

const (
	// failAfter is the time from the start of a task to its failure with Faults.FailStarts.
	failAfter = 50 * time.Millisecond
	// maxEndedTasks limits the ended tasks that are kept to refuse delayed starts of them.
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

// advance runs the tasks until now and ends each at the exact time at which its lease expires, it completes or it fails.
func (m *machine) advance(now time.Duration) {
	for m.now < now {
		speeds := m.speeds()
		stepEnd, endState, next := now, medlaragentapi.StateRunning, (*task)(nil)
		for _, t := range m.tasks {
			if t.state != medlaragentapi.StateRunning {
				continue
			}
			if at, state := t.nextEnd(m.now, speeds[t]); at < stepEnd || next == nil && at == stepEnd {
				stepEnd, endState, next = at, state, t
			}
		}
		for t, speed := range speeds {
			t.progress += time.Duration(float64(stepEnd-m.now) * speed)
		}
		m.now = stepEnd
		if next != nil {
			if endState == medlaragentapi.StateDone {
				next.progress = next.runTime
			}
			m.finish(next, endState)
		}
	}
}

// nextEnd returns the time at which t ends at the given speed, and how it ends.
func (t *task) nextEnd(now time.Duration, speed float64) (time.Duration, medlaragentapi.State) {
	at, state := t.leaseEnd, medlaragentapi.StateExpired
	if t.failAt > 0 && t.failAt < at {
		at, state = t.failAt, medlaragentapi.StateFailed
	}
	if t.runTime > 0 && speed > 0 {
		// Rounded up, so that every iteration of advance increases the time.
		remaining := time.Duration(float64(max(0, t.runTime-t.progress))/speed) + 1
		if done := now + remaining; done < at {
			at, state = done, medlaragentapi.StateDone
		}
	}
	return max(at, now), state
}

// finish ends the running attempt t at the current time.
func (m *machine) finish(t *task, state medlaragentapi.State) {
	t.state, t.paused = state, false
	m.recordEvent(m.now, EventEnd, t)
	m.queueForRemoval(t.ref.ID)
}

// queueForRemoval queues an ended task for removal. It is removed after maxEndedTasks others, when no delayed command
// for it can arrive any more.
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

// speeds returns the speed of each running task: its throttle, reduced by processor contention and by the interference of
// the other tasks.
func (m *machine) speeds() map[*task]float64 {
	var demand float64
	speeds := make(map[*task]float64)
	for _, t := range m.tasks {
		if t.state == medlaragentapi.StateRunning {
			speeds[t] = 0
			demand += m.demand(t)
		}
	}
	contentionFactor := 1.0
	if capacity := float64(m.config.Size.CPU); demand > capacity {
		contentionFactor = capacity / demand
	}
	for t := range speeds {
		if t.paused {
			continue
		}
		speeds[t] = float64(t.share) / medlaragentapi.FullSpeed * contentionFactor * m.interference(t, speeds)
	}
	return speeds
}

// demand returns the processor demand of t in thousandths of a core.
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

// interference returns the factor by which the templates of the other running tasks reduce the speed of t.
func (m *machine) interference(t *task, running map[*task]float64) float64 {
	factor := 1.0
	if m.config.Interference == 0 {
		return factor
	}
	for other := range running {
		if other != t {
			factor *= 1 - m.config.Interference*m.hashFraction("pair", string(t.template), string(other.template))
		}
	}
	return factor
}

// hashFraction returns a number from 0 to 1 that depends only on the seed and the words.
func (m *machine) hashFraction(words ...string) float64 {
	h := xxhash.NewWithSeed(m.config.Seed)
	for _, w := range words {
		_, _ = h.WriteString(w)
		_, _ = h.Write([]byte{0})
	}
	return float64(h.Sum64()>>11) / (1 << 53)
}

// actualFactor returns the ratio of a task's actual need or run time to the declared one.
func (m *machine) actualFactor(quantity string, id medlarwheel.TaskID) float64 {
	return 1 + m.config.EstimateError*(2*m.hashFraction(quantity, string(id))-1)
}
