// Package medlarwheel holds the contracts of a scheduler for colocated latency-critical and batch work: the domain types
// with their wire tags and self-checks, the typed outcomes and errors, and the clock interface.
//
// The package has no dependency on any other package of the module. Decision packages (medlarclaim, medlaraccount,
// medlarupstream and so on) build on these types, do no I/O and read no clock: events and a time go in, typed decisions
// come out. The daemon in medlarentry is a shell around them.
//
// # Usage
//
// Decode a template from outside. All faults are reported at once, each by its path:
//
//	t, err := medlarwheel.DecodeTemplate(data)
//	var faults medlarwheel.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f.Path, f.Value, f.Accepted)
//		}
//	}
//
// Pass the clock in, so that tests can move time by hand:
//
//	loop := New(medlarwheel.SystemClock{})
package medlarwheel
