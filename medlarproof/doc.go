// Package medlarproof holds the process-level failure tests and the request-path benchmark. Everything in it is test
// code: the tests build both programs once, start them as processes on loopback, make them fail, and compare what
// callers were told with the ledgers of the runners.
//
// The system under test has two data centres with two entry instances each, the platform stand-in, and runners for each
// service that a test adds. Tests that leave every entry instance running share one system; a test that stops, kills or
// freezes one starts its own.
//
// # Usage
//
//	go test ./medlarproof
//	go test -run '^$' -bench Path ./medlarproof
package medlarproof
