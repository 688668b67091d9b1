// Package medlarload is an open-loop load generator: it sends requests at a given rate, independent of the progress of
// earlier ones. Latencies are measured from the time at which a request was due, not from the time at which it was sent,
// so that a delay of the generator does not hide latency of the system (coordinated omission).
//
// After the run it audits the outcomes that clients got against the ledgers of the runners. It finds keys that were
// applied more than once, keys that were reported as not run although they were applied, and keys that were reported as
// done although they were not.
//
// # Usage
//
//	medlarstandin load --entries 127.0.0.1:7000,127.0.0.1:7001 --rate 500 --duration 30s --seed 1 \
//		--mix template=holds,account=parents,method=POST,keys=home:d1,weight=3 \
//		--mix template=watch,account=parents,method=GET,keys=none \
//		--runners 127.0.0.1:7801,127.0.0.1:7803
//
// The baseline sends requests to the runners directly, without entry instances:
//
//	medlarstandin load direct --targets 127.0.0.1:7800 --rate 60 --duration 10s --mix template=holds,method=POST \
//		--runners 127.0.0.1:7801
package medlarload
