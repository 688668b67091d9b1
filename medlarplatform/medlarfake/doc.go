// Package medlarfake holds an in-memory platform: a Store with the table, the objects and the list of instances, and a
// Fake that puts the methods of medlarplatform.Client on a Store for the tests of other packages.
//
// The stand-in for the platform serves a Store over HTTP. The daemon imports neither.
//
// # Usage
//
//	fake := medlarfake.New(clock)
//	fake.LoseAnswers(1)
//	_, err := fake.Transact(ctx, "entry-1:1:1", writes) // unknown, although the writes took effect
package medlarfake
