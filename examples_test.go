package medlarwheel_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"medlarwheel"
)

// Guards against examples in the documentation that the decoder rejects, for instance after a field was renamed.
func TestDecodeAcceptsDocumentedExamples(t *testing.T) {
	files, err := filepath.Glob("examples/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files match examples/*.json: %v", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		switch {
		case strings.HasSuffix(file, ".account.json"):
			_, err = medlarwheel.DecodeAccount(data)
		case strings.HasSuffix(file, ".job.json"):
			_, err = medlarwheel.Decode[medlarwheel.JobRequest](data)
		default:
			_, err = medlarwheel.DecodeTemplate(data)
		}
		if err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
