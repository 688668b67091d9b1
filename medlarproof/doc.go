// Package medlarproof holds the process-level failure tests and the benchmark of the request path. It contains only test
// code. The tests build both programs once, start them as processes on loopback, inject failures, and compare the responses
// that clients received with the ledgers of the runners.
//
// The system under test has two data centres with two entry instances each, the test double of the platform, and runners,
// which are test doubles of upstreams, for each service that a test adds. Tests that keep every entry instance running share
// one system. A test that stops, kills or freezes an instance starts its own.
//
// # Usage
//
//	go test ./medlarproof
//	go test -run '^$' -bench Path ./medlarproof
package medlarproof
