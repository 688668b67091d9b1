// Package medlaragent is the stand-in for a worker with its agent. It simulates the run of tasks under leases, following
// the protocol of medlaragentapi, and keeps a history of starts and ends in which a checker can find double runs.
//
// The machine type decides, with the time coming in as an argument; Agent is the shell with the clock, the HTTP interface
// and the checkpoints in the platform's object store. Tasks make progress at a speed that depends on their throttle, on
// the demand of all tasks together and on the pairs of templates that share the worker. Their true needs and run times
// differ from the declared ones by a share that is fixed for each task.
//
// # Usage
//
//	medlarstandin agent --listen 127.0.0.1:7900 --id w1 --rack k1 --data-centre d1 --platform 127.0.0.1:7700 \
//		--milli-cpu 32000 --memory-mb 125000
//	curl http://127.0.0.1:7900/v1/history
//	curl -d '{"fail-starts":true}' http://127.0.0.1:7900/v1/faults
//	curl -d '{"noisy-task":"t1","noisy-factor":8,"usage":"absurd"}' http://127.0.0.1:7900/v1/faults
package medlaragent
