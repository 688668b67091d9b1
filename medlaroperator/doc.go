// Package medlaroperator holds the types of the operator interface over HTTP and its client.
//
// Every entry instance offers the interface on the address for callers. Errors are JSON with a code, a message and, where
// they apply, every fault of the input, the change that won a conflict, and the time to come back.
//
// # Usage
//
//	client := medlaroperator.NewClient(medlaroperator.ClientConfig{Entries: []string{"127.0.0.1:7000"}})
//	result, err := client.PutTemplate(template, medlaroperator.WriteOptions{Author: "ada", Expected: 3})
//	var failure *medlaroperator.Error
//	if errors.As(err, &failure) && failure.Code == medlaroperator.CodeConflict {
//		fmt.Println(failure.Conflict)
//	}
package medlaroperator
