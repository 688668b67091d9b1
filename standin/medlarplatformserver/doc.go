// Package medlarplatformserver is the stand-in for the platform: the transactional table, the object store and the lagging list
// of instances over HTTP/JSON, with its state in memory.
//
// It caps its reads and writes a second as a real platform does, counts its calls, and has switches for outages, delays,
// refusals and answers that are lost after the write took effect.
//
// # Usage
//
//	medlarstandin platform --listen 127.0.0.1:7700 --list-lag 2s --writes-per-second 500 --reads-per-second 2000
//
// The faults are switched at any time; the body replaces the earlier settings:
//
//	curl -d '{"outage":"silent"}' http://127.0.0.1:7700/v1/faults
//	curl -d '{"lose-answers":3,"delay":"200ms"}' http://127.0.0.1:7700/v1/faults
//	curl -d '{}' http://127.0.0.1:7700/v1/faults
package medlarplatformserver
