package medlarburnrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/internal/testing/medlarseed"
)

var (
	update = flag.Bool("update", false, "re-record the golden files")
	epoch  = time.Date(2026, 8, 1, 12, 0, 0, 0, time.UTC)
)

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260801"}) }

// failureRecorder is a testing.TB that only records whether it failed. It shows that a check detects an injected fault.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) FailNow()              { r.failed = true; runtime.Goexit() }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }

func mustDetect(t *testing.T, fault string, check func(tb testing.TB)) {
	t.Helper()
	recorder := &failureRecorder{TB: t}
	var done sync.WaitGroup
	done.Go(func() { check(recorder) })
	done.Wait()
	if !recorder.failed {
		t.Errorf("the check did not detect the injected fault: %s", fault)
	}
}

// checkWindowCounts compares the counts of a recorder with those of a list of all results. recordedAt maps the time of a
// result to the time that the recorder gets.
func checkWindowCounts(tb testing.TB, recordedAt func(time.Time) time.Time) {
	rapid.Check(tb, func(rt *rapid.T) {
		type event struct {
			at     time.Time
			key    SeriesKey
			result Result
		}
		var events []event
		r := NewRecorder(DefaultConfig())
		now := epoch
		for range rapid.IntRange(1, 60).Draw(rt, "results") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 9, 60, 600, 7200, 90_000}).Draw(rt, "seconds")) * time.Second)
			e := event{at: now, result: Result(rapid.IntRange(0, 3).Draw(rt, "result"))}
			e.key = SeriesKey{Template: "t", Account: rapid.SampledFrom([]medlarwheel.AccountID{"a", "b"}).Draw(rt, "account")}
			events = append(events, e)
			r.Record(recordedAt(e.at), e.key, e.result)
		}
		got := r.Snapshot(now, Source{Instance: "i", Sequence: 1})
		for _, key := range []SeriesKey{{Template: "t", Account: "a"}, {Template: "t", Account: "b"}} {
			for _, spec := range windowSpecs {
				var want [resultCount]uint64
				for _, e := range events {
					if e.key == key && periodIndex(e.at, spec.bucketLength) > periodIndex(now, spec.bucketLength)-int64(spec.bucketCount) {
						want[e.result]++
					}
				}
				sum := SeriesCounts{}
				for _, counts := range got.Series {
					if counts.SeriesKey == key {
						sum = counts
					}
				}
				if c := sum.window(spec.window); [resultCount]uint64{c.Good, c.Slow, c.Refused, c.Unknown} != want {
					rt.Fatalf("series %v in window %s: got %+v, want %v", key, spec.window, c, want)
				}
			}
		}
	})
}

// Guards against results that stay in a window for too long, leave it too early or are counted in another series.
func TestRecorderCountsEachResultInItsWindows(t *testing.T) {
	checkWindowCounts(t, func(at time.Time) time.Time { return at })
	mustDetect(t, "results are recorded late", func(tb testing.TB) {
		checkWindowCounts(tb, func(at time.Time) time.Time { return at.Add(10 * time.Minute) })
	})
}

// Guards against results that are lost when requests are recorded concurrently, and against memory that grows with the
// number of series: results beyond MaxSeries must go to the overflow series, and an expired series must free its place.
func TestRecorderCountsConcurrentRequestsWithinSeriesLimit(t *testing.T) {
	const goroutines, each = 8, 4000
	r := NewRecorder(Config{MaxSeries: 100})
	var done sync.WaitGroup
	for i := range goroutines {
		done.Go(func() {
			for j := range each {
				r.Record(epoch, SeriesKey{Template: "t", Account: medlarwheel.AccountID(fmt.Sprint("a", (i+j)%500))}, ResultGood)
			}
		})
	}
	done.Wait()
	total, snapshot := uint64(0), r.Snapshot(epoch, Source{Instance: "i", Sequence: 1})
	for _, counts := range snapshot.Series {
		total += counts.window(Window5Minutes).Good
	}
	if total != goroutines*each || len(snapshot.Series) != 101 {
		t.Fatalf("got %d results in %d series, want %d in 101", total, len(snapshot.Series), goroutines*each)
	}
	r.Record(epoch.Add(Window3Days.Length()+time.Hour), SeriesKey{Template: "new", Account: "new"}, ResultGood)
	if later := r.Snapshot(epoch.Add(Window3Days.Length()+time.Hour), snapshot.Source); len(later.Series) != 1 || later.Series[0].Template != "new" {
		t.Fatalf("got series %+v, want only the new one after the others have expired", later.Series)
	}
}

// checkSnapshotMerge adds each snapshot twice, in random order, and compares the sum with that of the newest snapshots.
func checkSnapshotMerge(tb testing.TB, add func(*SnapshotSet, Snapshot) error) {
	rapid.Check(tb, func(rt *rapid.T) {
		newest, want := map[sourceKey]Snapshot{}, uint64(0)
		var sent []Snapshot
		for range rapid.IntRange(1, 12).Draw(rt, "snapshots") {
			s := Snapshot{At: epoch, Source: Source{
				Instance:    rapid.SampledFrom([]medlarwheel.InstanceID{"x", "y"}).Draw(rt, "instance"),
				Incarnation: medlarwheel.Incarnation(rapid.IntRange(0, 2).Draw(rt, "incarnation")), Sequence: 1,
			}}
			key := sourceKey{s.Instance, s.Incarnation}
			good := uint64(rapid.IntRange(1, 9).Draw(rt, "good"))
			if old, known := newest[key]; known {
				s.Sequence = old.Sequence + 1
				good += old.Series[0].Windows[0].Good
			}
			s.Series = []SeriesCounts{{SeriesKey: SeriesKey{"t", "a"}, Windows: []WindowCounts{{Window: Window1Hour, Counts: Counts{Good: good}}}}}
			newest[key], sent = s, append(sent, s, s)
		}
		for _, s := range newest {
			want += s.Series[0].Windows[0].Good
		}
		set := NewSnapshotSet(DefaultMaxSnapshots)
		order := rapid.Permutation(sent).Draw(rt, "order")
		for _, s := range order {
			if err := add(set, s); err != nil {
				rt.Fatalf("add snapshot %+v: %v", s.Source, err)
			}
		}
		for _, snapshots := range [][]Snapshot{set.Snapshots(), order} {
			if rows := NewReport(epoch, snapshots, nil).Rows; len(rows) != 1 || rows[0].Good != want {
				rt.Fatalf("got rows %+v, want one with %d good results", rows, want)
			}
		}
	})
}

// Guards against a snapshot that is counted twice because it arrived twice, or that replaces a newer one because it
// arrived late.
func TestSnapshotMergeIsIdempotent(t *testing.T) {
	checkSnapshotMerge(t, func(set *SnapshotSet, s Snapshot) error { return set.Add(epoch, s) })
	mustDetect(t, "sequence numbers are ignored", func(tb testing.TB) {
		checkSnapshotMerge(tb, func(set *SnapshotSet, s Snapshot) error {
			delete(set.snapshots, sourceKey{s.Instance, s.Incarnation})
			return set.Add(epoch, s)
		})
	})
	mustDetect(t, "incarnations are ignored", func(tb testing.TB) {
		checkSnapshotMerge(tb, func(set *SnapshotSet, s Snapshot) error {
			s.Incarnation = 0
			return set.Add(epoch, s)
		})
	})
}

// Guards against a set that grows with every restart of an instance, and against one that removes the newest snapshots.
func TestSnapshotSetEvictsOldestBeyondLimit(t *testing.T) {
	set := NewSnapshotSet(2)
	for i, age := range []time.Duration{3 * time.Hour, 0, time.Hour, Window3Days.Length()} {
		if err := set.Add(epoch, Snapshot{At: epoch.Add(-age), Source: Source{"x", medlarwheel.Incarnation(i), 1}}); err != nil {
			t.Fatal(err)
		}
	}
	if kept := set.Snapshots(); len(kept) != 2 || kept[0].Incarnation != 1 || kept[1].Incarnation != 2 || set.Dropped() != 1 {
		t.Fatalf("kept %+v and dropped %d, want incarnations 1 and 2 and 1 dropped", kept, set.Dropped())
	}
}

// sampleReport returns a report over three instances, one of which restarted, with a stale snapshot, a template without
// an objective, and refusals that overspend a budget.
func sampleReport(t *testing.T) Report {
	set := NewSnapshotSet(DefaultMaxSnapshots)
	record := func(source Source, at time.Time, key SeriesKey, counts [resultCount]int) {
		r := NewRecorder(DefaultConfig())
		for result, n := range counts {
			for range n {
				r.Record(at, key, Result(result))
			}
		}
		data, err := json.Marshal(r.Snapshot(at, source))
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := DecodeSnapshot(data)
		if err != nil {
			t.Fatal(err)
		}
		if err := set.Add(epoch, snapshot); err != nil {
			t.Fatal(err)
		}
	}
	hold, wash := SeriesKey{"hold-check", "parents"}, SeriesKey{"wash-plan", "night-shift"}
	record(Source{"entry-1", 1, 7}, epoch.Add(-10*time.Minute), hold, [resultCount]int{900, 1, 0, 0})
	record(Source{"entry-1", 2, 3}, epoch, hold, [resultCount]int{1989, 2, 5, 4})
	record(Source{"entry-2", 1, 9}, epoch.Add(-time.Minute), SeriesKey{"return-batch", "dock"}, [resultCount]int{500, 0, 0, 0})
	record(Source{"entry-3", 1, 2}, epoch, wash, [resultCount]int{40, 0, 3, 0})
	return NewReport(epoch, set.Snapshots(), Objectives{
		"hold-check":   {Latency: medlarwheel.Duration(100 * time.Millisecond), Target: 995_000},
		"return-batch": {Latency: medlarwheel.Duration(time.Second), Target: 999_000},
	})
}

// Guards against an unintended change of the text or JSON form of the report, of its arithmetic, or of how refusals are
// counted.
func TestReportMatchesGoldenFiles(t *testing.T) {
	r := sampleReport(t)
	for name, write := range map[string]func(*bytes.Buffer) error{
		"report.txt":  func(b *bytes.Buffer) error { return r.WriteTable(b) },
		"report.json": func(b *bytes.Buffer) error { return r.WriteJSON(b) },
	} {
		var got bytes.Buffer
		if err := write(&got); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", name)
		if *update {
			if err := os.WriteFile(path, got.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s (%v): got\n%s\nwant\n%s", name, err, got.Bytes(), want)
		}
	}
	for _, row := range r.Rows {
		if row.Template == "hold-check" && row.Window == Window5Minutes && (*row.BurnRate != 1.1 || *row.BudgetLeft != -0.1) {
			t.Errorf("11 bad of 2,000 results at a target of 99.5%%: got burn rate %v and budget left %v, want 1.1 and -0.1", *row.BurnRate, *row.BudgetLeft)
		}
	}
}

// Guards against refusals that are not counted, and against requests that can never be served but are counted.
func TestClassifyCountsRefusalsExceptUnservableRequests(t *testing.T) {
	objective := medlarwheel.Objective{Latency: medlarwheel.Duration(time.Second), Target: 999_000}
	for _, c := range []struct {
		refusal medlarwheel.Refusal
		latency time.Duration
		want    Result
		counts  bool
	}{
		{medlarwheel.Refusal{Outcome: medlarwheel.OutcomeDone}, time.Second, ResultGood, true},
		{medlarwheel.Refusal{Outcome: medlarwheel.OutcomeDone}, time.Second + 1, ResultSlow, true},
		{medlarwheel.NotRun(medlarwheel.ReasonQuota, 0), 0, ResultRefused, true},
		{medlarwheel.NotRun(medlarwheel.ReasonBadRequest, 0), 0, ResultRefused, false},
		{medlarwheel.Unknown(medlarwheel.ReasonUnresponsive, 0), 0, ResultUnknown, true},
	} {
		if got, counts := Classify(c.refusal.Outcome, c.refusal.Reason, c.latency, objective); got != c.want || counts != c.counts {
			t.Errorf("%v after %v: got %d, %v, want %d, %v", c.refusal, c.latency, got, counts, c.want, c.counts)
		}
	}
}

// Guards against a decoder that accepts a snapshot that would make the sums wrong, or that reports a fault with a wrong
// path.
func TestDecodeSnapshotReportsEveryFault(t *testing.T) {
	input := `{"source":{"instance":"E 1","incarnation":1,"sequence":0},"at":"2026-08-01T12:00:00Z","pairs":[
		{"pair":{"template":"t","account":"a"},"windows":[{"window":"2h","counts":{"good":1,"slow":0,"refused":0,"unknown":0}}]},
		{"pair":{"template":"t","account":"a"},"windows":[{"window":"1h","counts":{"good":562949953421312,"slow":0,"refused":0,"unknown":0}}]}]}`
	_, err := DecodeSnapshot([]byte(input))
	var paths []string
	var faults medlarwheel.Faults
	errors.As(err, &faults)
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	want := []string{"source.instance", "source.sequence", "pairs[0].windows[0].window", "pairs[1].pair", "pairs[1].windows[0].counts"}
	if !reflect.DeepEqual(paths, want) {
		t.Fatalf("got %v, want %v", paths, want)
	}
}

// BenchmarkRecord measures recording a result in one of 700 series, in parallel on all processors.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(DefaultConfig())
	keys := make([]SeriesKey, 700)
	for i := range keys {
		keys[i] = SeriesKey{Template: "template", Account: medlarwheel.AccountID(fmt.Sprint("account-", i))}
	}
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			r.Record(epoch.Add(time.Duration(i)*time.Millisecond), keys[i*31%len(keys)], ResultGood)
		}
	})
}
