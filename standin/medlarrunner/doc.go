// Package medlarrunner is the test double of an upstream: an HTTP/1.1 server with a fixed number of slots and
// connections that registers itself with the platform and keeps a ledger of the request keys that it applied.
//
// From the ledger a checker can find keys that were applied twice, were reported as not run although they were applied,
// or were reported as done although they were not. Injected faults make the runner slow or its responses late, truncated
// or wrong.
//
// # Usage
//
//	medlarstandin runner --listen 127.0.0.1:7800 --control 127.0.0.1:7801 --id r1 --service holds --data-centre d1 \
//		--platform 127.0.0.1:7700 --slots 8 --connections 64 --service-time 100ms
//	curl -d '{"answers":[{"mode":"cut-short","probability":0.1}],"slow":2,"for":"10s"}' http://127.0.0.1:7801/faults
//	curl http://127.0.0.1:7801/ledger
package medlarrunner
