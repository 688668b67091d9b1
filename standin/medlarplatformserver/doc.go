// Package medlarplatformserver is the test double of the platform. It serves the transactional table, the object store and
// the eventually consistent instance registry over HTTP/JSON and keeps its state in memory.
//
// It limits the rates of reads and writes as the real platform does, counts calls, and can inject outages, delays,
// rejections and responses that are dropped after the write took effect.
//
// # Usage
//
//	medlarstandin platform --listen 127.0.0.1:7700 --list-lag 2s --writes-per-second 500 --reads-per-second 2000
//
// Faults can be changed at any time. Each request replaces the faults that were set before:
//
//	curl -d '{"outage":"silent"}' http://127.0.0.1:7700/v1/faults
//	curl -d '{"lose-answers":3,"delay":"200ms"}' http://127.0.0.1:7700/v1/faults
//	curl -d '{}' http://127.0.0.1:7700/v1/faults
package medlarplatformserver
