package medlarsubmission

import "testing"

// TestTasksOfAllOccurrencesAreBounded guards against one submission that exhausts the memory of the owner and of each of
// its successors: the numbers of occurrences and of tasks are within their limits, but their product is too large.
func TestTasksOfAllOccurrencesAreBounded(t *testing.T) {
	submission := func(occurrences, count int) Submission {
		return Submission{ID: "00000000000000aa", OccurrenceCount: occurrences, Steps: []Step{{Count: count}, {Count: count}}}
	}
	for _, c := range []struct {
		occurrences, count int
		ok                 bool
	}{
		{occurrences: 0, count: maxTasks / 2, ok: true},
		{occurrences: 1000, count: 100, ok: true},
		{occurrences: 1001, count: 100},
		{occurrences: maxTasks, count: maxTasks / 2},
	} {
		s := submission(c.occurrences, c.count)
		if faults := s.Check(); (len(faults) == 0) != c.ok {
			t.Errorf("%d occurrences of two steps with %d tasks: got faults %v, want valid %v", c.occurrences, c.count, faults, c.ok)
		}
	}
}
