// Package medlarwheel defines the types that the packages of a scheduler for colocated latency-critical and batch work
// share: the domain types with their JSON encoding and validation, the outcomes and errors, and the clock interface.
//
// The package does not depend on any other package of the module. Packages that make decisions (medlarclaim,
// medlaraccount, medlarupstream and so on) use these types, do no I/O and read no clock: they take events and the current
// time as arguments and return decisions. The daemon in medlarentry does the I/O and calls them.
//
// # Usage
//
// Decode a template from external input. All faults are reported together, each with its path:
//
//	t, err := medlarwheel.DecodeTemplate(data)
//	var faults medlarwheel.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f.Path, f.Value, f.Accepted)
//		}
//	}
//
// Pass the clock as an argument, so that tests can control the time:
//
//	loop := New(medlarwheel.SystemClock{})
package medlarwheel
