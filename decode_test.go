package medlarwheel_test

import (
	"errors"
	"testing"

	"medlarwheel"
)

// Guards against a decoder that returns only the first of several faults, or that accepts unknown fields.
func TestDecodeTemplateReportsEveryFault(t *testing.T) {
	input := `{"name":"Bad Name","kind":"service","class":"urgent","surprise":1,"defaults":{"weight":"two"}}`
	_, err := medlarwheel.DecodeTemplate([]byte(input))
	var faults medlarwheel.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want Faults", err)
	}
	if len(faults) != 2 || faults[0].Path != "defaults.weight" || faults[1].Path != "surprise" {
		t.Fatalf("type faults: got %v, want defaults.weight and surprise", faults)
	}
	input = `{"name":"Bad Name","kind":"service","class":"urgnt","defaults":{"weight":0,"guaranteed-slots":1,"queue-limit":1,"quota":{}}}`
	_, err = medlarwheel.DecodeTemplate([]byte(input))
	if !errors.As(err, &faults) || len(faults) != 4 {
		t.Fatalf("value faults: got %v, want name, class, service and weight", err)
	}
}
