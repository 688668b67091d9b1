package medlarwheel

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checker is a wire type that validates its own values.
type checker interface {
	Check() Faults
}

// Decode decodes a wire type from JSON and validates it. It returns all unknown fields and values of the wrong type
// together as Faults. If there are none, it returns all faults that the type's own Check reports.
func Decode[T any, P interface {
	*T
	checker
}](data []byte) (T, error) {
	var value T
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return value, Faults{{Path: ".", Value: err.Error(), Accepted: "one JSON object"}}
	}
	if decoder.More() {
		return value, Faults{{Path: ".", Value: "data after the object", Accepted: "one JSON object"}}
	}
	faults := typeFaults("", tree, reflect.TypeOf(value))
	if len(faults) > 0 {
		return value, faults
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, Faults{{Path: ".", Value: err.Error(), Accepted: "the documented form"}}
	}
	return value, P(&value).Check().Err()
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// typeFaults compares a decoded JSON tree with the Go type that it is to be decoded into.
func typeFaults(path string, tree any, want reflect.Type) Faults {
	if want.Kind() == reflect.Pointer {
		if tree == nil {
			return nil
		}
		return typeFaults(path, tree, want.Elem())
	}
	if reflect.PointerTo(want).Implements(unmarshalerType) {
		return valueFaults(path, tree, want)
	}
	switch want.Kind() {
	case reflect.Struct:
		return structFaults(path, tree, want)
	case reflect.Slice:
		return sliceFaults(path, tree, want)
	case reflect.Map:
		return mapFaults(path, tree, want)
	default:
		return valueFaults(path, tree, want)
	}
}

func structFaults(path string, tree any, want reflect.Type) Faults {
	object, ok := tree.(map[string]any)
	if !ok {
		return Faults{{Path: pathOrRoot(path), Value: formatValue(tree), Accepted: "an object"}}
	}
	fields := fieldTypes(want)
	var faults Faults
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			faults = faults.Add(pathOrRoot(joinPath(path, name)), "unknown field", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		faults = append(faults, typeFaults(joinPath(path, name), object[name], field)...)
	}
	return faults
}

func sliceFaults(path string, tree any, want reflect.Type) Faults {
	list, ok := tree.([]any)
	if !ok {
		return Faults{{Path: pathOrRoot(path), Value: formatValue(tree), Accepted: "a list"}}
	}
	var faults Faults
	for i, element := range list {
		faults = append(faults, typeFaults(fmt.Sprintf("%s[%d]", path, i), element, want.Elem())...)
	}
	return faults
}

func mapFaults(path string, tree any, want reflect.Type) Faults {
	object, ok := tree.(map[string]any)
	if !ok {
		return Faults{{Path: pathOrRoot(path), Value: formatValue(tree), Accepted: "an object"}}
	}
	var faults Faults
	for _, name := range sortedKeys(object) {
		faults = append(faults, typeFaults(joinPath(path, name), object[name], want.Elem())...)
	}
	return faults
}

// valueFaults decodes a single leaf separately, so that its fault names its path.
func valueFaults(path string, tree any, want reflect.Type) Faults {
	data, err := json.Marshal(tree)
	if err != nil {
		return Faults{{Path: pathOrRoot(path), Value: formatValue(tree), Accepted: want.Kind().String()}}
	}
	if err := json.Unmarshal(data, reflect.New(want).Interface()); err != nil {
		return Faults{{Path: pathOrRoot(path), Value: string(data), Accepted: acceptedValues(want)}}
	}
	return nil
}

func acceptedValues(want reflect.Type) string {
	if want == reflect.TypeFor[Duration]() {
		return "a duration such as \"1.5s\""
	}
	switch want.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func fieldTypes(want reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, want.NumField())
	for i := range want.NumField() {
		field := want.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" {
			maps.Copy(fields, fieldTypes(field.Type))
			continue
		}
		if name == "" || name == "-" {
			continue
		}
		fields[name] = field.Type
	}
	return fields
}

func sortedKeys[V any](object map[string]V) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrRoot(path string) string {
	if path == "" {
		return "."
	}
	return path
}

func formatValue(tree any) string {
	data, err := json.Marshal(tree)
	if err != nil {
		return fmt.Sprintf("%T", tree)
	}
	return string(data)
}
