// Package medlaragent is the test double of a worker with its agent. It simulates tasks that run under leases, implements
// the protocol of medlaragentapi, and keeps a history of starts and ends in which a checker can find duplicate runs.
//
// The type machine is a state machine that gets the time as an argument. Agent is the I/O layer around it, with the clock,
// the HTTP interface and the checkpoints in the platform's object store. The speed of a task depends on its throttle, on
// the total processor demand and on the interference between the templates on the worker. The actual needs and run times
// of a task differ from the declared ones by fractions that are fixed for each task.
//
// # Usage
//
//	medlarstandin agent --listen 127.0.0.1:7900 --id w1 --rack k1 --data-centre d1 --platform 127.0.0.1:7700 \
//		--milli-cpu 32000 --memory-mb 125000
//	curl http://127.0.0.1:7900/v1/history
//	curl -d '{"fail-starts":true}' http://127.0.0.1:7900/v1/faults
//	curl -d '{"noisy-task":"t1","noisy-factor":8,"usage":"absurd"}' http://127.0.0.1:7900/v1/faults
package medlaragent
