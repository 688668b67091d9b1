package medlarorder

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"medlarwheel"
)

// TestCheckedWorkerFitsInARow guards against a registration that is accepted and then makes the table refuse all records of the
// cell.
func TestCheckedWorkerFitsInARow(t *testing.T) {
	const maxRowBytes = 40 << 10 // of 64 KiB, less the overhead of its encoding
	largest := strings.Repeat("<", maxTextBytes)
	w := Worker{Address: "10.0.0.1:80", ID: "i", Service: "s", DataCentre: "a", Labels: slices.Repeat([]string{largest}, maxLabels)}
	value, err := json.Marshal(w)
	if faults := w.Check(); err != nil || len(faults) > 0 || len(value) > maxRowBytes {
		t.Errorf("largest accepted worker: faults %v, error %v, row of %d bytes; want none and at most %d", faults, err, len(value), maxRowBytes)
	}
	for name, change := range map[string]func(*Worker){
		"label too long":        func(w *Worker) { w.Labels[0] += "<" },
		"too many labels":       func(w *Worker) { w.Labels = append(w.Labels, "a") },
		"service too long":      func(w *Worker) { w.Service = medlarwheel.ServiceName(largest + "<") },
		"address too long":      func(w *Worker) { w.Address = "[fe80::1%" + largest + "]:80" },
		"data centre not UTF-8": func(w *Worker) { w.DataCentre = "\xff" },
		"id too long":           func(w *Worker) { w.ID = medlarwheel.WorkerID(largest + "<") },
	} {
		odd := w
		odd.Labels = slices.Clone(w.Labels)
		if change(&odd); len(odd.Check()) == 0 {
			t.Errorf("%s: worker was accepted, want a fault", name)
		}
	}
}
