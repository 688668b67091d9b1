package medlartimeline

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "record the golden file again")

// TestTimelineMatchesGoldenFile guards against a timeline that leaves out what delayed a submission, or mixes in others.
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
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// TestUnknownSubmissionIsReported guards against an empty answer that reads like "nothing happened".
func TestUnknownSubmissionIsReported(t *testing.T) {
	timeline, err := Read("00000000000000bb", strings.NewReader("{}\n"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := timeline.Print(&out); err != nil || !strings.Contains(out.String(), "no line names") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
