// Package peerpb holds the generated messages and Twirp stubs of the service between entry instances.
//
// # Usage
//
// Re-create the generated files after a change of peer.proto with "make generate". The build needs no generator.
package peerpb
