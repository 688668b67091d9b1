package medlarnode

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/platform"
)

// TestSubmissionThatFitsInNoRowIsRejected guards against a submission that the table refuses together with all others in its
// transaction, again with each retry.
func TestSubmissionThatFitsInNoRowIsRejected(t *testing.T) {
	n, err := New(DefaultConfig(platform.Settings{Instance: "a", Peer: "10.0.0.1:80", StoreAddress: "127.0.0.1:1", MaxLease: 10 * time.Second}), zerolog.Nop(), medlarmetrics.New())
	if err != nil {
		t.Fatal(err)
	}
	step := medlarsubmission.Step{Count: 1}
	many := slices.Repeat([]medlarsubmission.Step{step}, 256)
	for i := range many {
		for earlier := range i {
			many[i].After = append(many[i].After, earlier)
		}
	}
	long := step
	long.Image = strings.Repeat("i", 100_000)
	for name, steps := range map[string][]medlarsubmission.Step{"many dependencies": many, "long name of an image": {long}} {
		s := medlarsubmission.Submission{ID: "00000000000000aa", Route: "q", Service: "svc", AcceptedAt: n.clock.Now(), Steps: steps}
		if faults := s.Check(); len(faults) > 0 {
			t.Fatalf("%s: %v", name, faults)
		}
		if reply := n.Submit(s, n.clock.Now().Add(time.Second)); reply.Outcome != platform.OutcomeTooLarge {
			t.Errorf("%s: outcome %v, want too large", name, reply.Outcome)
		}
	}
}
