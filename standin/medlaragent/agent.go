package medlaragent

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// objectStore is the part of the platform client that checkpoints need.
type objectStore interface {
	PutObject(ctx context.Context, name string, data []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
}

// Agent connects a machine to a clock, an HTTP interface and an object store.
type Agent struct {
	config Config
	log    zerolog.Logger
	store  objectStore

	mu      sync.Mutex
	machine *machine
	// changed is closed and replaced when the faults change, to wake calls that wait while the agent is frozen.
	changed chan struct{}
}

// New returns an agent without tasks. If store is nil, checkpoints are refused.
func New(config Config, store objectStore, log zerolog.Logger) *Agent {
	return &Agent{
		config: config, log: log.With().Str("worker", string(config.ID)).Logger(), store: store,
		machine: newMachine(config, config.Clock.Now()), changed: make(chan struct{}),
	}
}

// withMachine calls f with the machine, advanced to the current time, while it holds the lock.
func (a *Agent) withMachine(f func(m *machine)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.advance(a.machine.sinceStart(a.config.Clock.Now()))
	a.machine.measureUsage()
	f(a.machine)
}

// SetFaults replaces the faults.
func (a *Agent) SetFaults(f Faults) {
	a.withMachine(func(m *machine) {
		m.faults = f
		close(a.changed)
		a.changed = make(chan struct{})
	})
	a.log.Info().Interface("faults", f).Msg("faults changed")
}

// waitWhileFrozen blocks a call while the agent is frozen.
func (a *Agent) waitWhileFrozen(done <-chan struct{}) {
	for {
		a.mu.Lock()
		frozen, changed := a.machine.faults.Freeze, a.changed
		a.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// History returns the recorded starts and ends of attempts.
func (a *Agent) History() History {
	h := History{Worker: a.config.ID}
	a.withMachine(func(m *machine) {
		h.Events, h.Dropped = slices.Clone(m.events), m.droppedEvents
		for reason, count := range m.refusals {
			h.Refusals = append(h.Refusals, RefusalCount{Reason: reason, Count: count})
		}
	})
	slices.SortFunc(h.Refusals, func(a, b RefusalCount) int { return strings.Compare(string(a.Reason), string(b.Reason)) })
	return h
}

// Tasks lists the tasks in the order of their ids.
func (a *Agent) Tasks() medlaragentapi.TaskList {
	list := medlaragentapi.TaskList{Tasks: []medlaragentapi.TaskStatus{}}
	a.withMachine(func(m *machine) {
		list.Clock = m.clockReading()
		for _, t := range m.tasks {
			list.Tasks = append(list.Tasks, t.status())
		}
	})
	slices.SortFunc(list.Tasks, func(a, b medlaragentapi.TaskStatus) int {
		return strings.Compare(string(a.Task.ID), string(b.Task.ID))
	})
	return list
}

// objectTimeout limits one access to the object store.
const objectTimeout = 3 * time.Second

// Start starts an attempt. It reads the checkpoint before it checks the lease, because the lease may expire meanwhile.
func (a *Agent) Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskResponse, error) {
	progress, loadErr := time.Duration(0), error(nil)
	if r.Checkpoint != "" {
		progress, loadErr = a.loadCheckpoint(ctx, r.Checkpoint)
	}
	var response medlaragentapi.TaskResponse
	var err error
	a.withMachine(func(m *machine) {
		// A repeated start does not need the checkpoint, and the object may have been deleted by then.
		if t := m.tasks[r.Task.ID]; loadErr != nil && !t.isRunning(r.Task) {
			err = m.refuse(medlaragentapi.RefusedCheckpointFailed, t)
			return
		}
		response, err = m.start(r, progress)
	})
	a.log.Info().Str("task", string(r.Task.ID)).Uint64("attempt", uint64(r.Task.Attempt)).AnErr("refusal", err).
		AnErr("checkpoint", loadErr).Msg("start")
	return response, err
}

// Checkpoint writes a checkpoint and ends the attempt.
func (a *Agent) Checkpoint(ctx context.Context, r medlaragentapi.CheckpointRequest) (medlaragentapi.TaskResponse, error) {
	var checkpoint *Checkpoint
	var response medlaragentapi.TaskResponse
	var err error
	a.withMachine(func(m *machine) { checkpoint, response, err = m.beginCheckpoint(r) })
	if err != nil || checkpoint == nil {
		return response, err
	}
	saveErr := a.saveCheckpoint(ctx, r.Object, checkpoint)
	a.withMachine(func(m *machine) { response, err = m.endCheckpoint(r, saveErr == nil) })
	a.log.Info().Str("task", string(r.Task.ID)).Uint64("attempt", uint64(r.Task.Attempt)).AnErr("refusal", err).
		AnErr("object", saveErr).Msg("checkpoint")
	return response, err
}

var errNoObjectStore = errors.New("no object store: the agent runs without a platform")

func (a *Agent) loadCheckpoint(ctx context.Context, name string) (time.Duration, error) {
	if a.store == nil {
		return 0, errNoObjectStore
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	data, err := a.store.Object(ctx, name)
	if err != nil {
		return 0, err
	}
	c, err := medlarwheel.Decode[Checkpoint](data)
	return c.Progress.Std(), errors.WithMessage(err, "decode object "+name)
}

func (a *Agent) saveCheckpoint(ctx context.Context, name string, c *Checkpoint) error {
	if a.store == nil {
		return errNoObjectStore
	}
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return a.store.PutObject(ctx, name, data)
}
