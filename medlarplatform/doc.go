// Package medlarplatform is the HTTP client of the platform: its transactional table, its object store and its list of
// instances.
//
// A transaction is sent under an operation id. When its answer is lost, the client reads the operation back and, if the
// platform does not know it, sends it again under the same id, which the platform executes once. Only when the result
// stays unknown until the deadline does Transact report so. The HTTP library's own retries are switched off. After
// repeated failures the client fails calls at once and lets a single call probe the platform from time to time.
//
// # Usage
//
//	client := medlarplatform.New(medlarplatform.DefaultConfig("127.0.0.1:7700"))
//	defer client.Close()
//	operations := medlarplatform.NewOperationIDGenerator("entry-1", 7)
//	commit, err := client.Transact(ctx, operations.Next(), []medlarwheel.Write{{Key: "worker/w1", Value: value}})
//	var conflict *medlarwheel.ConflictError
//	switch {
//	case errors.As(err, &conflict): // not applied; conflict.Rows has the present rows
//	case err != nil && medlarplatform.MayHaveApplied(err): // unknown
//	case err != nil: // not applied
//	}
package medlarplatform
