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

// referenceVoter is a model of a voter. It keeps every fence, and every vote until its expiry, in maps.
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

func (r *referenceVoter) handle(now time.Time, request medlarclaim.VoteRequest) medlarclaim.Verdict {
	for k, v := range r.votes {
		if !now.Before(v.expiry) {
			delete(r.votes, k)
		}
	}
	// The voter rounds the expiry up to whole seconds of its clock.
	expiry := startTime.Add((now.Sub(startTime) + medlarclaim.Retention + time.Second - 1).Truncate(time.Second))
	v, voted := r.votes[request.Key]
	switch {
	case request.Kind == medlarclaim.KindComplete:
		if !voted && len(r.votes) >= r.limit {
			return medlarclaim.VerdictMemoryFull
		}
		r.votes[request.Key] = referenceVote{attempt: request.Attempt, completed: true, own: voted && v.own && v.attempt == request.Attempt, expiry: expiry}
		return medlarclaim.VerdictGranted
	case voted && v.own && v.attempt == request.Attempt && request.Kind != medlarclaim.KindClaim && !v.completed:
		delete(r.votes, request.Key)
	case voted:
		v.expiry = expiry
		r.votes[request.Key] = v
		if v.own && v.attempt == request.Attempt && request.Kind == medlarclaim.KindClaim {
			return medlarclaim.VerdictGranted
		}
		return medlarclaim.VerdictHeld
	case request.Kind == medlarclaim.KindClaim:
		fenced, ok := r.fences[request.Key]
		early := ok && !now.Add(-request.Waited-2*medlarclaim.BallotTimeout).After(fenced)
		switch {
		case early || request.Waited >= medlarclaim.MaxQueueWait:
		case len(r.votes) < r.limit:
			r.votes[request.Key] = referenceVote{attempt: request.Attempt, own: true, expiry: expiry}
			return medlarclaim.VerdictGranted
		default:
			r.fences[request.Key] = now
			return medlarclaim.VerdictMemoryFull
		}
	}
	r.fences[request.Key] = now
	return medlarclaim.VerdictSealed
}

// Guards against faults of the compact tables: a vote that expires early or never, a record that is used for two votes,
// a lost fence. They come about when records are removed and reused while the timing wheel still lists them.
func TestVoterMatchesReferenceVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 3
		c := medlarclaim.DefaultVoterConfig("seat", 1)
		c.Epoch, c.Bootstrap, c.MaxVotes, c.FenceSets = epoch, true, limit, 1
		voter := medlarclaim.NewVoter(c, startTime)
		reference := referenceVoter{votes: map[medlarclaim.KeyHash]referenceVote{}, fences: map[medlarclaim.KeyHash]time.Time{}, limit: limit}
		now := startTime
		kinds := []medlarclaim.BallotKind{medlarclaim.KindClaim, medlarclaim.KindClaim, medlarclaim.KindSeal, medlarclaim.KindComplete, medlarclaim.KindRelease}
		for range rapid.IntRange(1, 80).Draw(t, "questions") {
			steps := []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 100 * time.Second, 299 * time.Second, 301 * time.Second, time.Hour}
			now = now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			request := medlarclaim.VoteRequest{
				Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
				Key:     medlarclaim.HashKey(rapid.SampledFrom([]medlarwheel.RequestKey{"k", "l", "m", "n"}).Draw(t, "key")),
				Attempt: rapid.SampledFrom([]medlarwheel.AttemptID{"x", "y"}).Draw(t, "attempt"),
				Holder:  "entry",
				Waited:  rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 31 * time.Second}).Draw(t, "waited"),
			}
			voter.Expire(now)
			got, want := voter.Handle(now, epoch, request).Verdict, reference.handle(now, request)
			if got != want || voter.Len() != len(reference.votes) {
				t.Fatalf("%s after %s: got %s with %d votes, want %s with %d", request.Kind, now.Sub(startTime), got, voter.Len(), want, len(reference.votes))
			}
		}
	})
}

// Guards against keys from which a home or a creation time is read although they have none, and against accepted
// characters outside visible ASCII.
func TestParseKeyReadsHomeAndCreationTime(t *testing.T) {
	cases := []struct {
		key       medlarwheel.RequestKey
		home      medlarwheel.DataCentreID
		createdAt int64
		faults    int
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
		var createdAt int64
		if !parts.CreatedAt.IsZero() {
			createdAt = parts.CreatedAt.UnixMilli()
		}
		if parts.HomeDataCentre != c.home || createdAt != c.createdAt || len(faults) != c.faults {
			t.Errorf("key %q: got %+v and faults %v, want home %q, creation time %d and %d faults", c.key, parts, faults, c.home, c.createdAt, c.faults)
		}
	}
	known := []medlarwheel.DataCentreID{"east", "north", "west"}
	if got := medlarclaim.HomeDataCentre("north:x", known); got != "north" {
		t.Errorf("home of a key that names the known data centre north: got %s, want north", got)
	}
	// A key that names an unknown data centre has the same home, whatever the order of the known ones.
	reversed := []medlarwheel.DataCentreID{"west", "north", "east"}
	for i := range 100 {
		key := medlarwheel.RequestKey(fmt.Sprintf("south:%d", i))
		if medlarclaim.HomeDataCentre(key, known) != medlarclaim.HomeDataCentre(key, reversed) {
			t.Errorf("key %s: home depends on the order of the known data centres", key)
		}
	}
}

func voterWithVotes(records int) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig("seat", 1)
	c.Epoch, c.Bootstrap = epoch, true
	voter := medlarclaim.NewVoter(c, startTime)
	for i := range records {
		voter.Handle(startTime.Add(time.Duration(i)*300*time.Microsecond), epoch, numberedClaim(i))
	}
	return voter
}

func numberedClaim(i int) medlarclaim.VoteRequest {
	id := fmt.Sprint(i)
	return medlarclaim.VoteRequest{
		Kind: medlarclaim.KindClaim, Key: medlarclaim.HashKey(medlarwheel.RequestKey(id)),
		Attempt: medlarwheel.AttemptID(id), Holder: "entry",
	}
}

const benchmarkVotes = 500_000

// BenchmarkClaim measures claims of new keys at 500,000 votes, with the expiry that keeps the number there.
func BenchmarkClaim(b *testing.B) {
	voter := voterWithVotes(benchmarkVotes)
	requests := make([]medlarclaim.VoteRequest, b.N)
	for i := range requests {
		requests[i] = numberedClaim(benchmarkVotes + i)
	}
	now := startTime.Add(benchmarkVotes * 300 * time.Microsecond)
	b.ResetTimer()
	for i := range requests {
		now = now.Add(600 * time.Microsecond)
		voter.Handle(now, epoch, requests[i])
	}
}

// BenchmarkBytesPerVote measures the heap of a voter with 500,000 votes, fences and tables included.
func BenchmarkBytesPerVote(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		voter := voterWithVotes(benchmarkVotes)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if voter.Len() != benchmarkVotes {
			b.Fatalf("got %d votes, want %d", voter.Len(), benchmarkVotes)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchmarkVotes, "bytes/record")
		runtime.KeepAlive(voter)
	}
}
