package medlarclaim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// referenceVoter keeps every vote and fence in maps and removes nothing before it looks.
type referenceVoter struct {
	votes  map[medlarclaim.KeyHash]referenceVote
	fences map[medlarclaim.KeyHash]time.Time
	limit  int
}

type referenceVote struct {
	attempt   medlarwheel.AttemptID
	completed bool
	own       bool
	expiry    time.Time
}

func (s *referenceVoter) handle(now time.Time, q medlarclaim.VoteRequest) medlarclaim.Verdict {
	for k, v := range s.votes {
		if !now.Before(v.expiry) {
			delete(s.votes, k)
		}
	}
	// The seat rounds expiry up to its seconds.
	due := startTime.Add((now.Sub(startTime) + medlarclaim.Retention + time.Second - 1).Truncate(time.Second))
	v, voted := s.votes[q.Key]
	switch {
	case q.Kind == medlarclaim.KindComplete:
		if !voted && len(s.votes) >= s.limit {
			return medlarclaim.VerdictMemoryFull
		}
		s.votes[q.Key] = referenceVote{attempt: q.Attempt, completed: true, own: voted && v.own && v.attempt == q.Attempt, expiry: due}
		return medlarclaim.VerdictGranted
	case voted && v.own && v.attempt == q.Attempt && q.Kind != medlarclaim.KindClaim && !v.completed:
		delete(s.votes, q.Key)
	case voted:
		v.expiry = due
		s.votes[q.Key] = v
		if v.own && v.attempt == q.Attempt && q.Kind == medlarclaim.KindClaim {
			return medlarclaim.VerdictGranted
		}
		return medlarclaim.VerdictHeld
	case q.Kind == medlarclaim.KindClaim:
		fenced, ok := s.fences[q.Key]
		early := ok && !now.Add(-q.Waited-2*medlarclaim.BallotTimeout).After(fenced)
		switch {
		case early || q.Waited >= medlarclaim.MaxQueueWait:
		case len(s.votes) < s.limit:
			s.votes[q.Key] = referenceVote{attempt: q.Attempt, own: true, expiry: due}
			return medlarclaim.VerdictGranted
		default:
			s.fences[q.Key] = now
			return medlarclaim.VerdictMemoryFull
		}
	}
	s.fences[q.Key] = now
	return medlarclaim.VerdictSealed
}

// Guards against faults of the compact tables: a vote forgotten early or never, a slot used twice, a lost fence.
func TestVoterMatchesReferenceVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 3
		c := medlarclaim.DefaultVoterConfig("seat", 1)
		c.Epoch, c.Bootstrap, c.MaxVotes, c.FenceSets = epoch, true, limit, 1
		seat := medlarclaim.NewVoter(c, startTime)
		naive := referenceVoter{votes: map[medlarclaim.KeyHash]referenceVote{}, fences: map[medlarclaim.KeyHash]time.Time{}, limit: limit}
		now := startTime
		kinds := []medlarclaim.BallotKind{medlarclaim.KindClaim, medlarclaim.KindClaim, medlarclaim.KindSeal, medlarclaim.KindComplete, medlarclaim.KindRelease}
		for range rapid.IntRange(1, 80).Draw(t, "questions") {
			steps := []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 100 * time.Second, 299 * time.Second, 301 * time.Second, time.Hour}
			now = now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			q := medlarclaim.VoteRequest{
				Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
				Key:     medlarclaim.HashKey(rapid.SampledFrom([]medlarwheel.RequestKey{"k", "l", "m", "n"}).Draw(t, "key")),
				Attempt: rapid.SampledFrom([]medlarwheel.AttemptID{"x", "y"}).Draw(t, "attempt"),
				Holder:  "entry",
				Waited:  rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 31 * time.Second}).Draw(t, "waited"),
			}
			seat.Expire(now)
			got, want := seat.Handle(now, epoch, q).Verdict, naive.handle(now, q)
			if got != want || seat.Len() != len(naive.votes) {
				t.Fatalf("%s at %s: got %s with %d votes, want %s with %d", q.Kind, now.Sub(startTime), got, seat.Len(), want, len(naive.votes))
			}
		}
	})
}

// Guards against keys that are read as homed or timed when they are not, and against unaccepted characters.
func TestParseKeyReadsHomeAndCreationTime(t *testing.T) {
	cases := []struct {
		key    medlarwheel.RequestKey
		home   medlarwheel.DataCentreID
		minted int64
		faults int
	}{
		{"plain", "", 0, 0},
		{"north:order-7", "north", 0, 0},
		{"north:1800000000000:order-7", "north", 1_800_000_000_000, 0},
		{"north:1800000000000", "north", 0, 0},
		{"north:-5:x", "north", 0, 0},
		{"north:9999999999999999:x", "north", 0, 0},
		{"No Name:1:x", "", 0, 1},
		{"NORTH:1:x", "", 0, 0},
		{"", "", 0, 1},
	}
	for _, c := range cases {
		parts, faults := medlarclaim.ParseKey(c.key)
		var minted int64
		if !parts.CreatedAt.IsZero() {
			minted = parts.CreatedAt.UnixMilli()
		}
		if parts.HomeDataCentre != c.home || minted != c.minted || len(faults) != c.faults {
			t.Errorf("%q: got %+v, %v", c.key, parts, faults)
		}
	}
	known := []medlarwheel.DataCentreID{"east", "north", "west"}
	if got := medlarclaim.HomeDataCentre("north:x", known); got != "north" {
		t.Errorf("named data centre: got %s", got)
	}
	// A key that names an unknown data centre has the same home whatever the order of the known ones is.
	reversed := []medlarwheel.DataCentreID{"west", "north", "east"}
	for i := range 100 {
		key := medlarwheel.RequestKey(fmt.Sprintf("south:%d", i))
		if medlarclaim.HomeDataCentre(key, known) != medlarclaim.HomeDataCentre(key, reversed) {
			t.Errorf("%s: home depends on the order", key)
		}
	}
}

func voterWithVotes(records int) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig("seat", 1)
	c.Epoch, c.Bootstrap = epoch, true
	seat := medlarclaim.NewVoter(c, startTime)
	for i := range records {
		seat.Handle(startTime.Add(time.Duration(i)*300*time.Microsecond), epoch, numberedClaim(i))
	}
	return seat
}

func numberedClaim(i int) medlarclaim.VoteRequest {
	id := fmt.Sprint(i)
	return medlarclaim.VoteRequest{
		Kind: medlarclaim.KindClaim, Key: medlarclaim.HashKey(medlarwheel.RequestKey(id)),
		Attempt: medlarwheel.AttemptID(id), Holder: "entry",
	}
}

const benchmarkVotes = 500_000

// BenchmarkClaim measures claims of new keys at 500,000 records, with the expiry that keeps the number there.
func BenchmarkClaim(b *testing.B) {
	seat := voterWithVotes(benchmarkVotes)
	questions := make([]medlarclaim.VoteRequest, b.N)
	for i := range questions {
		questions[i] = numberedClaim(benchmarkVotes + i)
	}
	now := startTime.Add(benchmarkVotes * 300 * time.Microsecond)
	b.ResetTimer()
	for i := range questions {
		now = now.Add(600 * time.Microsecond)
		seat.Handle(now, epoch, questions[i])
	}
}

// BenchmarkBytesPerVote measures the heap of a seat with 500,000 records, fences and tables included.
func BenchmarkBytesPerVote(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		seat := voterWithVotes(benchmarkVotes)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if seat.Len() != benchmarkVotes {
			b.Fatalf("got %d records", seat.Len())
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchmarkVotes, "bytes/record")
		runtime.KeepAlive(seat)
	}
}
