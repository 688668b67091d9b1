package medlarmemory

import "cmp"

// DefaultMB is what is assumed of a machine whose settings do not state its memory: that of the smallest one of the platform's
// installations.
const DefaultMB = 184

// Plan divides the memory of a machine among the holders whose need depends on others: what clients send, what is accepted, and how
// workers and the table respond. Each holder keeps no more than its share, in bytes. What is left is for the program, the runtime, and
// what grows with the number of workers and instances only.
type Plan struct {
	// Clients and Peers are for what their connections have sent, and Probe for that of the readiness probe and the metrics each.
	Clients, Peers, Probe int64
	// StartOrders and OtherOrders are for the orders to workers that have no response yet: those to start a task, and all others.
	StartOrders, OtherOrders int64
	// Submissions is for the submissions that an owner holds with their tasks, and Runs for the runs of tasks. The smallest instance's go
	// for all, since each may be the next owner.
	Submissions, Runs int64
	// WorkerResponses and TableResponses are for the bodies of responses and what is decoded from them, and Parsing for the parser of a large
	// body.
	WorkerResponses, TableResponses, Parsing int64
}

// NewPlan returns the plan for a machine.
func NewPlan(memoryMB int64) Plan {
	total := cmp.Or(memoryMB, DefaultMB) << 20
	return Plan{
		Clients: total / 6, Peers: total / 12, Probe: total / 32,
		StartOrders: total / 32, OtherOrders: total / 32, Submissions: 11 * total / 64, Runs: total / 9,
		WorkerResponses: total / 20, TableResponses: total / 20, Parsing: total / 32,
	}
}

// Sum returns the memory of all holders together.
func (p Plan) Sum() int64 {
	const probes = 2
	return p.Clients + p.Peers + probes*p.Probe + p.StartOrders + p.OtherOrders + p.Submissions + p.Runs +
		p.WorkerResponses + p.TableResponses + p.Parsing
}
