// Package medlarrelay is a TCP relay between two processes that can go silent, cut and delay. It places partitions and
// latency between processes on one machine.
//
// A silenced connection stays open and passes neither bytes nor the close of either end. A cut closes all connections
// and refuses new ones.
//
// # Usage
//
//	medlarstandin relay --listen 127.0.0.1:9001,127.0.0.1:9002 --to 127.0.0.1:7001,127.0.0.1:7002 \
//		--control 127.0.0.1:9000
//
// Each call replaces the faults of all routes, or of the one with the given listen address. An empty object resumes:
//
//	curl -d '{"silence":"existing"}' http://127.0.0.1:9000/faults
//	curl -d '{"route":"127.0.0.1:9001","cut":true}' http://127.0.0.1:9000/faults
//	curl -d '{"delay-to":"20ms","delay-from":"1500us"}' http://127.0.0.1:9000/faults
//	curl -d '{}' http://127.0.0.1:9000/faults
package medlarrelay
