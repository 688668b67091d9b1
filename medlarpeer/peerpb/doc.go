// Package peerpb contains the generated protobuf messages and Twirp stubs of the peer service, which entry instances use
// to call each other.
//
// # Usage
//
// After a change of peer.proto, regenerate the files with "make generate". The build does not need the generators.
package peerpb
