package medlarinstance

import (
	"fmt"
	"strings"
	"testing"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarledger"
	"medlarwheel/internal/state/medlartable"
)

// partReader notes the parts that are read.
type partReader struct{ parts chan string }

func (p partReader) Read(r medlartable.Range) (medlartable.Page, error) {
	p.parts <- r.Part
	return medlartable.Page{Rows: []medlartable.Row{{Table: Table, Part: r.Part, Key: r.Part}}}, nil
}

// TestRegisterHasPartsOfItsOwn guards against instances whose rows an owner does not read, and against submissions that wait
// for the renewals of instances on a slow table.
func TestRegisterHasPartsOfItsOwn(t *testing.T) {
	reader := partReader{parts: make(chan string, registerParts)}
	rows, err := Read(reader, "c0")
	if err != nil || len(rows) != registerParts {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	close(reader.parts)
	read := map[string]bool{}
	for part := range reader.parts {
		read[part] = true
	}
	for n := range 100 {
		row, err := Row("c0", Instance{ID: medlarwheel.InstanceID(fmt.Sprintf("edge-%d", n))})
		if err != nil {
			t.Fatal(err)
		}
		if !read[row.Part] {
			t.Fatalf("part %s is not read", row.Part)
		}
	}
	for n := range 1000 {
		part := medlarledger.SubmissionPart("c0", medlarsubmission.ID(fmt.Sprintf("%016x", n)))
		if read[part] || !strings.HasPrefix(part, "c0-") {
			t.Fatalf("submissions share part %s with the register", part)
		}
	}
}
