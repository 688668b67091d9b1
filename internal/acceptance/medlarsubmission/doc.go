// Package medlarsubmission holds a client's submission: its steps, the names of its tasks, the states that its caller sees,
// and the checks that it passes before it is accepted.
//
// A submission is stored in the project's own format, with kebab-case names, and is checked again when it is read back.
//
// # Usage
//
//	s := medlarsubmission.Submission{ID: id, Route: route.Name, Steps: steps}
//	if faults := s.Check(); len(faults) > 0 {
//		return faults.Err()
//	}
//	for k := range s.Occurrences() {
//		due := s.Due(k)
//		...
//	}
package medlarsubmission
