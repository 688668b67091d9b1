package medlarlease_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"medlarwheel"
	"medlarwheel/medlarlease"
)

func rowWithValue(data []byte) medlarwheel.Row {
	return medlarwheel.Row{Key: "row", Version: 1, Value: data}
}

// Guards against a panic on a damaged row, and a shard map that its own write does not reproduce.
func FuzzDecodeShardMap(f *testing.F) {
	m := medlarlease.NewShardMap("dc-1")
	m.Epoch, m.Members = 2, []medlarlease.Member{{Instance: "e-1", Incarnation: 1}}
	m.Workers[0] = medlarlease.Assignment{Owner: "e-1", Token: 2}
	seed, err := m.Write(0)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(seed.Value))
	f.Add([]byte(`{"data-centre":"dc-1","workers":[{"token":9}],"jobs":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := medlarlease.DecodeShardMap(rowWithValue(data))
		if err != nil {
			if !reflect.DeepEqual(m, medlarlease.ShardMap{}) {
				t.Fatalf("refused row gave %+v", m)
			}
			return
		}
		if faults := m.Check(); len(faults) > 0 {
			t.Fatalf("accepted with faults: %v", faults)
		}
		write, err := m.Write(1)
		if err != nil {
			t.Fatal(err)
		}
		again, err := medlarlease.DecodeShardMap(rowWithValue(write.Value))
		if err != nil {
			t.Fatalf("own write refused: %v", err)
		}
		if len(m.Members) == 0 {
			m.Members = nil
		}
		if !reflect.DeepEqual(m, again) {
			t.Fatalf("got %+v, want %+v", again, m)
		}
	})
}

// Guards against a panic on a damaged row, and an instance lease that its own encoding does not reproduce.
func FuzzDecodeInstanceLease(f *testing.F) {
	f.Add([]byte(`{"instance":{"id":"e-1","data-centre":"dc-1","peer-address":"127.0.0.1:7100","incarnation":1,"state":"live"},"counter":7,"map-epoch":3}`))
	f.Add([]byte(`{"instance":null,"counter":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		lease, err := medlarlease.DecodeInstanceLease(rowWithValue(data))
		if err != nil {
			if lease != (medlarlease.InstanceLease{}) {
				t.Fatalf("refused row gave %+v", lease)
			}
			return
		}
		if faults := lease.Check(); len(faults) > 0 {
			t.Fatalf("accepted with faults: %v", faults)
		}
		encoded, err := json.Marshal(lease)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := medlarlease.DecodeInstanceLease(rowWithValue(encoded)); err != nil || again != lease {
			t.Fatalf("got %+v, %v, want %+v", again, err, lease)
		}
	})
}
