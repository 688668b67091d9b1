package medlarsubmission

import "testing"

// TestTasksOfAllOccurrencesAreBounded guards against one submission that takes all the memory of the owner, and of each of its successors:
// times and tasks are each within their bounds, and their product is not.
func TestTasksOfAllOccurrencesAreBounded(t *testing.T) {
	submission := func(times, count int) Submission {
		return Submission{ID: "00000000000000aa", OccurrenceCount: times, Steps: []Step{{Count: count}, {Count: count}}}
	}
	for _, c := range []struct {
		times, count int
		ok           bool
	}{
		{times: 0, count: maxTasks / 2, ok: true},
		{times: 1000, count: 100, ok: true},
		{times: 1001, count: 100},
		{times: maxTasks, count: maxTasks / 2},
	} {
		s := submission(c.times, c.count)
		if faults := s.Check(); (len(faults) == 0) != c.ok {
			t.Errorf("%d times two steps of %d tasks: %v", c.times, c.count, faults)
		}
	}
}
