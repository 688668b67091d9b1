// Package medlaroperator holds the types and the client of the HTTP interface for operators.
//
// Every entry instance offers the interface on its address for client requests. An error response is JSON with a code, a
// message and, where they apply, all validation faults of the input, the change that won a conflict, and the time after
// which to retry.
//
// # Usage
//
//	client := medlaroperator.NewClient(medlaroperator.ClientConfig{Addresses: []string{"127.0.0.1:7000"}})
//	options := medlaroperator.WriteOptions{Author: "ada", ExpectedVersion: 3}
//	result, err := client.Put(medlaroperator.PathTemplates, name, body, options)
//	var failure *medlaroperator.Error
//	if errors.As(err, &failure) && failure.Code == medlaroperator.CodeConflict {
//		fmt.Println(failure.Conflict)
//	}
package medlaroperator
