// Package medlarload is an open-loop load generator: requests arrive at a set rate, whatever becomes of earlier ones.
// Latencies count from the time at which a request was due, so that a slow system cannot hide behind a slow generator.
//
// After the run it compares what callers were told with the ledgers of the runners: keys that were applied more than
// once, keys that were reported as not run although they were applied, and keys that were reported as done although they
// were not.
//
// # Usage
//
//	medlarstandin load --entries 127.0.0.1:7000,127.0.0.1:7001 --rate 500 --duration 30s --seed 1 \
//		--mix template=holds,account=parents,method=POST,keys=home:d1,weight=3 \
//		--mix template=watch,account=parents,method=GET,keys=none \
//		--runners 127.0.0.1:7801,127.0.0.1:7803
//
// The baseline sends to runners without an entry instance between:
//
//	medlarstandin load direct --targets 127.0.0.1:7800 --rate 60 --duration 10s --mix template=holds,method=POST \
//		--runners 127.0.0.1:7801
package medlarload
