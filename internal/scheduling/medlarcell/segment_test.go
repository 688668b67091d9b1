package medlarcell

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// largestSubmissions returns submissions at the limits of acceptance.
func largestSubmissions() map[string]medlarsubmission.Submission {
	wide := testStep()
	wide.Count = 20000
	submissions := map[string]medlarsubmission.Submission{"one step of 20,000 tasks": testSubmission(wide)}
	var steps []medlarsubmission.Step
	for range 250 {
		step := testStep()
		step.Count = 80
		steps = append(steps, step)
	}
	submissions["250 steps of 80 tasks"] = testSubmission(steps...)
	scheduled := testSubmission(steps[:10]...)
	for i := range scheduled.Steps {
		scheduled.Steps[i].Count = 1
	}
	scheduled.OccurrenceCount, scheduled.Interval = 20000, time.Millisecond
	submissions["20,000 times 10 tasks"] = scheduled
	for name, s := range submissions {
		s.Policy.MaxAttempts = 6
		submissions[name] = s
	}
	return submissions
}

// taskHistories set what has happened to a task. Each makes the record of a segment as large as it can be in one way.
func taskHistories() map[string]func(t *task, number int) {
	crash := Crash{
		Run: 1 << 60, Worker: "i-0123456789abcdef", Incarnation: 1 << 50, Address: "255.255.255.255:65535", Confirmed: true, Started: true, Prompt: true, Alone: true,
	}
	return map[string]func(t *task, number int){
		"waits":      func(*task, int) {},
		"done":       func(t *task, _ int) { t.done = true },
		"half done":  func(t *task, number int) { t.done = number%2 == 0 },
		"checkpoint": func(t *task, _ int) { t.checkpoint = strings.Repeat("8", maxCheckpointBytes) },
		"escaped checkpoint": func(t *task, _ int) {
			t.checkpoint = strings.Repeat("\x01", maxCheckpointBytes/escapedBytes)
		},
		"large checkpoint": func(t *task, _ int) { t.checkpoint = strings.Repeat("8", 100000) },
		"failed": func(t *task, _ int) {
			for i := range 5 {
				t.failedRuns = append(t.failedRuns, 1<<60+medlarorder.RunNumber(i))
			}
		},
		"all": func(t *task, _ int) {
			t.crashes = []Crash{crash, crash, crash, crash}
			t.checkpoint = strings.Repeat("8", maxCheckpointBytes)
			t.failedRuns = []medlarorder.RunNumber{1 << 60, 1<<60 + 1, 1<<60 + 2, 1<<60 + 3, 1<<60 + 4}
		},
	}
}

// TestRecordsOfLargestSubmissionsFitInRows guards against a submission whose progress the table refuses, so that nothing of any
// submission is recorded any more.
func TestRecordsOfLargestSubmissionsFitInRows(t *testing.T) {
	for name, s := range largestSubmissions() {
		if faults := s.Check(); len(faults) > 0 {
			t.Fatalf("%s is not accepted: %v", name, faults)
		}
		for history, set := range taskHistories() {
			if s.OccurrenceCount > 0 && history != "all" && history != "done" {
				// 200,000 tasks take seconds under the race detector.
				continue
			}
			t.Run(name+"/"+history, func(t *testing.T) {
				c := New(DefaultConfig())
				c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
				c.Accept(simEpoch, s)
				j, number := c.jobs[s.ID], 0
				j.forEachTask(func(st *step, index int) {
					set(&st.tasks[index], number)
					number++
					c.markTaskDirty(st, index)
				})
				for c.HasFlush() {
					b := c.TakeFlush(93)
					total := 0
					for _, r := range b.Records {
						value, err := json.Marshal(r.Progress)
						if err != nil {
							t.Fatal(err)
						}
						if len(value) > c.config.MaxRowBytes || len(value) > r.Progress.bytes() {
							t.Fatalf("record of segment %d has %d bytes, want at most %d and the estimate of %d", r.Segment, len(value), c.config.MaxRowBytes, r.Progress.bytes())
						}
						total += len(value)
					}
					if most := c.config.MaxBatchBytes + c.config.MaxRowBytes; total > most || len(b.Records) == 0 {
						t.Fatalf("batch has %d records of %d bytes, want some and at most %d bytes", len(b.Records), total, most)
					}
					c.FlushSucceeded(simEpoch, b)
				}
			})
		}
	}
}

// TestSegmentsRestoreProgress guards against tasks of a large submission that run again after a change of owner, or lose their
// checkpoints and failed runs, because their row is left out or taken for that of another segment.
func TestSegmentsRestoreProgress(t *testing.T) {
	for name, s := range largestSubmissions() {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			first := New(DefaultConfig())
			first.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
			first.Accept(simEpoch, s)
			first.jobs[s.ID].forEachTask(func(st *step, index int) {
				switch rng.IntN(4) {
				case 0:
					st.completeTask(index)
				case 1:
					st.tasks[index].checkpoint = fmt.Sprint(index)
				case 2:
					st.tasks[index].failedRuns = []medlarorder.RunNumber{medlarorder.RunNumber(index)}
				}
				first.markTaskDirty(st, index)
			})
			var merged Progress
			for first.HasFlush() {
				b := first.TakeFlush(93)
				for _, r := range b.Records {
					if err := merged.Merge(r.Progress); err != nil {
						t.Fatal(err)
					}
				}
			}
			next := New(DefaultConfig())
			next.Begin(simEpoch, Ownership{Fence: 2 << 12, Term: 2})
			if err := next.Restore(simEpoch, s, merged, false); err != nil {
				t.Fatal(err)
			}
			restored := next.jobs[s.ID]
			first.jobs[s.ID].forEachTask(func(st *step, index int) {
				want := &st.tasks[index]
				_, got := restored.findTask(st.name(index))
				if got.done != want.done || got.checkpoint != want.checkpoint || fmt.Sprint(got.failedRuns) != fmt.Sprint(want.failedRuns) {
					t.Fatalf("task %s: restored done %v, checkpoint %q, failed runs %v; want %v, %q, %v", st.name(index), got.done, got.checkpoint,
						got.failedRuns, want.done, want.checkpoint, want.failedRuns)
				}
			})
		})
	}
}

// TestRowOfEarlierBuildIsReplacedLast guards against progress that is lost on an upgrade: an earlier build has stored that of all
// tasks in the row of the first segment.
func TestRowOfEarlierBuildIsReplacedLast(t *testing.T) {
	s := largestSubmissions()["one step of 20,000 tasks"]
	c := New(DefaultConfig())
	c.Begin(simEpoch, Ownership{Fence: 2 << 12, Term: 2})
	row := Progress{Checkpoints: map[string]string{"0.0.0": "a", "0.0.19999": "b"}}
	if err := c.Restore(simEpoch, s, row, false); err != nil {
		t.Fatal(err)
	}
	st := c.jobs[s.ID].occurrences[0].steps[0]
	c.markTaskDirty(st, 0)
	stored := map[int]Progress{0: row}
	for failed := false; c.HasFlush(); {
		b := c.TakeFlush(7)
		if !failed && len(stored) > 20 {
			failed = true
			c.FlushFailed(b)
			continue
		}
		for _, r := range b.Records {
			if r.Segment == 0 && stored[st.segmentOf(19999).index].Checkpoints["0.0.19999"] != "b" {
				t.Fatal("the row of the first segment was replaced before the progress of the last one was stored")
			}
			stored[r.Segment] = r.Progress
		}
		c.FlushSucceeded(simEpoch, b)
	}
	if len(stored) != len(c.jobs[s.ID].segments) || stored[0].Checkpoints["0.0.0"] != "a" {
		t.Errorf("%d segments are stored, the first with %v; want %d", len(stored), stored[0].Checkpoints, len(c.jobs[s.ID].segments))
	}
}

// TestLargeCheckpointIsReportedAsNotStored guards against checkpoints that are left out of the records without a line in the log.
func TestLargeCheckpointIsReportedAsNotStored(t *testing.T) {
	c := newCrashCell(t, 1, Ownership{Fence: 1 << 12, Term: 1})
	c.cell.Accept(c.now, testSubmission(testStep()))
	st := c.cell.jobs["00000000000000aa"].occurrences[0].steps[0]
	st.tasks[0].checkpoint = strings.Repeat("8", maxCheckpointBytes+1)
	c.cell.markTaskDirty(st, 0)
	c.flush()
	if events := c.events(EventCheckpointNotStored); len(events) != 1 || events[0].Count != maxCheckpointBytes+1 {
		t.Errorf("events are %+v, want one with the size", events)
	}
}

// BenchmarkRecordsOfLargestSubmission measures the bytes and the time of the records of all 20,000 tasks, and of those that the
// change of one task leads to.
func BenchmarkRecordsOfLargestSubmission(b *testing.B) {
	for name, set := range taskHistories() {
		c := New(DefaultConfig())
		c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
		s := largestSubmissions()["one step of 20,000 tasks"]
		c.Accept(simEpoch, s)
		st := c.jobs[s.ID].occurrences[0].steps[0]
		for i := range st.tasks {
			set(&st.tasks[i], i)
		}
		for _, changed := range []int{1, len(st.tasks)} {
			b.Run(fmt.Sprintf("%s/%d-changed", name, changed), func(b *testing.B) {
				rows, bytes, largest := 0, 0, 0
				for b.Loop() {
					rows, bytes = 0, 0
					for i := range changed {
						c.markTaskDirty(st, i)
					}
					for c.HasFlush() {
						batch := c.TakeFlush(93)
						for _, r := range batch.Records {
							value, err := json.Marshal(r.Progress)
							if err != nil {
								b.Fatal(err)
							}
							rows, bytes, largest = rows+1, bytes+len(value), max(largest, len(value))
						}
						c.FlushSucceeded(simEpoch, batch)
					}
					c.TakeEvents()
				}
				b.ReportMetric(float64(rows), "rows/op")
				b.ReportMetric(float64(bytes), "bytes/op")
				b.ReportMetric(float64(largest), "largest-row-bytes")
			})
		}
	}
}
