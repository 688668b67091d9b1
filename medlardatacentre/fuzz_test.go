package medlardatacentre_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
)

// Guards against a panic of the decoder, against a roster that is not the same after encoding and decoding, and against a
// fault without a path.
func FuzzDecodeRoster(f *testing.F) {
	f.Add([]byte(`{"data-centre":"dc-1","epoch":3,"members":[{"instance":"e-1","incarnation":1,"peer-address":"127.0.0.1:7100",` +
		`"joined-epoch":1}],"seats":[{"instance":"e-1","incarnation":1,"since-epoch":2,"quarantine-from":"2026-01-02T03:04:05+01:00"}],` +
		`"sources":["e-1"],"seats-changed-at":"2026-01-02T03:04:05.000000001Z","removed":[{"instance":"e-2","incarnation":1,"removed-epoch":3,` +
		`"removed-at":"2026-01-02T03:04:05Z"}]}`))
	f.Add([]byte(`{"data-centre":"dc-1","epoch":1}`))
	f.Add([]byte(`{"data-centre":"dc-1","epoch":1,"members":[],"seats":[]}`))
	f.Add([]byte(`{"data-centre":"dc-1","epoch":1,"members":null,"seats":[{}],"":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		roster, err := medlardatacentre.DecodeRoster(data)
		if err != nil {
			var faults medlarwheel.Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("got error %v, want Faults", err)
			}
			for _, fault := range faults {
				if fault.Path == "" {
					t.Fatalf("fault without a path: %+v", fault)
				}
			}
			return
		}
		if faults := roster.Check(); len(faults) > 0 {
			t.Fatalf("accepted a roster with invalid values: %v", faults)
		}
		encoded, err := json.Marshal(roster)
		if err != nil {
			t.Fatal(err)
		}
		again, err := medlardatacentre.DecodeRoster(encoded)
		if err != nil {
			t.Fatalf("decoding the encoded roster %s: %v", encoded, err)
		}
		// The encodings are compared, because equal times may have different location pointers.
		if second, err := json.Marshal(again); err != nil || !bytes.Equal(encoded, second) {
			t.Fatalf("got %s, %v, want %s", second, err, encoded)
		}
	})
}
