package medlarowner

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
)

// idleAgent never responds to a lease renewal and records its connection limit.
type idleAgent struct {
	Agent
	connections int
}

func (a *idleAgent) SetConnections(n int)                                { a.connections = n }
func (a *idleAgent) Renew(medlarorder.Renew) (medlarorder.Report, error) { select {} }

// TestConnectionsShrinkAsWorkersJoin guards against an owner that runs out of file descriptors because the workers that
// joined first keep the connection limit for a few workers.
func TestConnectionsShrinkAsWorkersJoin(t *testing.T) {
	agents := map[medlarwheel.WorkerID]*idleAgent{}
	clock := medlarwheel.SystemClock{}
	o := New(DefaultConfig(), Dependencies{
		Store: &slowStore{}, Clock: clock, Log: zerolog.Nop(), Meter: medlarmetrics.New(),
		Connect: func(id medlarwheel.WorkerID, _ string, connections int) Agent {
			agents[id] = &idleAgent{connections: connections}
			return agents[id]
		},
		Connections: func(workers int) int { return max(1, 100/max(1, workers)) },
	}, medlarownership.Term{Number: 2, Version: 9}, clock.Now(), medlarownership.Predecessor{})
	for n := range 50 {
		o.cell.SetWorker(clock.Now(), medlarorder.Worker{
			ID: medlarwheel.WorkerID(fmt.Sprint("w", n)), Incarnation: 1, Service: "svc", Address: fmt.Sprintf("10.0.0.%d:80", n+1),
		})
		o.executeCommands(context.Background())
	}
	sum := 0
	for id, a := range agents {
		if a.connections != 2 {
			t.Errorf("connection limit of %s among 50 workers: got %d, want 2", id, a.connections)
		}
		sum += a.connections
	}
	if len(agents) != 50 || sum > 100 {
		t.Errorf("got %d agents with %d connections in all, want 50 agents with at most 100", len(agents), sum)
	}
}
