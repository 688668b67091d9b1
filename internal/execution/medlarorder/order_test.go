package medlarorder

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"medlarwheel"
)

// TestCheckedWorkerFitsInARow guards against a registration that is accepted and then makes the table refuse all
// records of the cell.
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

// TestCheckRejectsUnusableAddresses guards against calls to an address of another writer that no worker can have.
func TestCheckRejectsUnusableAddresses(t *testing.T) {
	for _, address := range []string{"10.128.0.9:8080", "127.0.0.1:1", "192.168.0.1:65535"} {
		w := Worker{ID: "i", Address: address}
		if err := w.Check().Err(); err != nil {
			t.Errorf("address %s: %v", address, err)
		}
	}
	for _, address := range []string{
		"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999", "10.0.0.1:99999999999999999999",
		"10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1:http", "10.0.0.1:80 ", "10.0.0.1:80/x", "10.0.0.1:80\r\nHost: x", "10.0.0:80",
		"10.0.0.256:80", "010.0.0.1:80", "host:80", "host", "[::1]:80", "::1", "[::ffff:10.0.0.1]:80", "[fe80::1%eth0]:80", "0.0.0.0:80",
		"224.0.0.1:80", "255.255.255.255:80", strings.Repeat("1", 60_000) + ":80",
	} {
		w := Worker{ID: "i", Address: address}
		if err := w.Check().Err(); err == nil || len(err.Error()) > 300 {
			t.Errorf("address %.40q: got error %.300v, want a short one", address, err)
		}
	}
}
