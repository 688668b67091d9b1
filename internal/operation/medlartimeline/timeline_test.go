package medlartimeline

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "record the golden file again")

// TestTimelineMatchesGoldenFile guards against a timeline that omits events that delayed a submission, or includes lines
// of other submissions.
func TestTimelineMatchesGoldenFile(t *testing.T) {
	log, err := os.ReadFile("testdata/instances.log")
	if err != nil {
		t.Fatal(err)
	}
	timeline, err := Read("00000000000000aa", bytes.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := timeline.Print(&out); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile("testdata/timeline.golden", out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/timeline.golden")
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("timeline differs from the golden file: got\n%swant\n%s", out.String(), want)
	}
}

// TestUnknownSubmissionIsReported guards against empty output that reads as if nothing had happened.
func TestUnknownSubmissionIsReported(t *testing.T) {
	timeline, err := Read("00000000000000bb", strings.NewReader("{}\n"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := timeline.Print(&out); err != nil || !strings.Contains(out.String(), "no line names") {
		t.Errorf("got output %q and error %v, want a hint that no line names the submission", out.String(), err)
	}
}
