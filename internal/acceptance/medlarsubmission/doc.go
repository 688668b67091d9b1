// Package medlarsubmission defines a client's submission: its steps, the names of its tasks, the states that clients see, and
// the checks that precede acceptance.
//
// Submissions are stored as JSON in the project's own format, with kebab-case names, and are checked again when they are
// decoded.
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
