// Package medlarfake implements the platform in memory for tests: Store holds the table and the objects, InstanceRegistry
// holds the list of instances, and Fake offers the methods of medlarplatform.Client on both.
//
// The test double of the platform serves a Store and an InstanceRegistry over HTTP. The daemon does not import this
// package.
//
// # Usage
//
//	fake := medlarfake.New(clock)
//	fake.DropResponses(1)
//	_, err := fake.Transact(ctx, "entry-1:1:1", writes) // effect unknown, although the writes were applied
package medlarfake
