package medlarwheel_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"medlarwheel"
)

const (
	seedTemplate = `{"name":"holds","kind":"service","class":"urgent","service":{"upstream":"runner","idempotent-methods":["GET"],` +
		`"slots":8,"connections":64,"queue-timeout":"1s","default-deadline":"2s","max-deadline":"10s"},` +
		`"objective":{"latency":"100ms","target-millionths":999000},` +
		`"defaults":{"weight":1,"guaranteed-slots":1,"queue-limit":10,"quota":{"milli-cpu":0,"memory-mb":0}}}`
	seedAccount = `{"id":"huts","team":"rounds","quota":{"milli-cpu":1000,"memory-mb":64},"parameters":{"holds":` +
		`{"weight":2,"guaranteed-slots":3,"queue-limit":4,"quota":{"milli-cpu":0,"memory-mb":0}}}}`
	seedJobRequest = `{"name":"wash","account":"huts","template":"plans","data-centre":"dc-1","tasks":3,` +
		`"size":{"milli-cpu":500,"memory-mb":64,"accelerators":1},"run-time":"1h0m0s"}`
	seedDelta = `{"after":1,"head":3,"items":[{"key":"template/holds","version":2,"author":"op","template":` + seedTemplate +
		`},{"key":"account/huts","version":3,"author":"op","account":` + seedAccount + `},{"key":"account/old","version":1,"author":"","withdrawn":true}]}`
	seedInstanceList = `{"version":4,"upstreams":[{"id":"u-1","service":"runner","data-centre":"dc-1","address":"127.0.0.1:7000","incarnation":1,` +
		`"state":"live"}],"entries":[{"id":"e-1","data-centre":"dc-1","peer-address":"[::1]:7100","incarnation":2,"state":"leaving"}]}`
)

type checked interface{ Check() medlarwheel.Faults }

// fuzzDecode guards against input that makes the decoder panic, an accepted value that changes when it is encoded and
// decoded again, and a fault without a path.
func fuzzDecode[T any, P interface {
	*T
	checked
}](f *testing.F, decode func([]byte) (T, error), seed string) {
	for _, input := range []string{seed, `{}`, `null`, `[]`, `{"":1}`, `{} ]`, `{"name":null,"defaults":[],"items":[{}],"upstreams":null}`} {
		f.Add([]byte(input))
	}
	if _, err := decode([]byte(seed)); err != nil {
		f.Fatalf("seed input is rejected: %v", err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decode(data)
		if err != nil {
			requireFaultPaths(t, err)
			return
		}
		if faults := P(&value).Check(); len(faults) > 0 {
			t.Fatalf("decoded value has faults: %v", faults)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decode(encoded)
		if err != nil {
			t.Fatalf("encoding %s of a decoded value is rejected: %v", encoded, err)
		}
		clearEmpty(reflect.ValueOf(&value))
		clearEmpty(reflect.ValueOf(&decoded))
		if !reflect.DeepEqual(value, decoded) {
			t.Fatalf("got %+v after encoding and decoding, want %+v", decoded, value)
		}
	})
}

func requireFaultPaths(t *testing.T, err error) {
	t.Helper()
	var faults medlarwheel.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("got %v, want Faults", err)
	}
	for _, fault := range faults {
		if fault.Path == "" {
			t.Fatalf("fault without a path: %+v", fault)
		}
	}
}

// clearEmpty sets empty lists and maps to nil, because "omitempty" encodes both the same way.
func clearEmpty(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			clearEmpty(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			clearEmpty(v.Field(i))
		}
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 {
			v.SetZero()
		} else if v.Kind() == reflect.Slice {
			for i := range v.Len() {
				clearEmpty(v.Index(i))
			}
		}
	}
}

func FuzzDecodeTemplate(f *testing.F) { fuzzDecode(f, medlarwheel.DecodeTemplate, seedTemplate) }

func FuzzDecodeAccount(f *testing.F) { fuzzDecode(f, medlarwheel.DecodeAccount, seedAccount) }

func FuzzDecodeJobRequest(f *testing.F) {
	fuzzDecode(f, medlarwheel.Decode[medlarwheel.JobRequest], seedJobRequest)
}

func FuzzDecodeConfigDelta(f *testing.F) {
	fuzzDecode(f, medlarwheel.Decode[medlarwheel.ConfigDelta], seedDelta)
}

func FuzzDecodeInstanceList(f *testing.F) {
	fuzzDecode(f, medlarwheel.Decode[medlarwheel.InstanceList], seedInstanceList)
}
