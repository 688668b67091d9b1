// Package medlarrelay is a TCP proxy that injects network faults between processes on one machine: stalled connections,
// cuts and latency.
//
// A stalled connection stays open but forwards neither bytes nor the close of either end, as in a network partition. A
// cut closes all connections and refuses new ones.
//
// # Usage
//
//	medlarstandin relay --listen 127.0.0.1:9001,127.0.0.1:9002 --to 127.0.0.1:7001,127.0.0.1:7002 \
//		--control 127.0.0.1:9000
//
// Each call replaces the faults of all routes, or of the route with the given listen address. An empty object
// removes all faults:
//
//	curl -d '{"silence":"existing"}' http://127.0.0.1:9000/faults
//	curl -d '{"route":"127.0.0.1:9001","cut":true}' http://127.0.0.1:9000/faults
//	curl -d '{"delay-to":"20ms","delay-from":"1500us"}' http://127.0.0.1:9000/faults
//	curl -d '{}' http://127.0.0.1:9000/faults
package medlarrelay
