// Package medlarplatform is the HTTP client of the platform: its transactional table, its object store and its list of
// instances.
//
// Each transaction carries an operation id, which the platform executes at most once. When a response is lost, the client
// reads the result of the operation and, if the platform does not know the operation, sends the transaction again under
// the same id. Transact reports an unknown outcome only if no result is found within the resolve timeout. Retries by the
// HTTP library are disabled. A circuit breaker fails calls immediately after consecutive failures and lets one call at a
// time probe the platform.
//
// # Usage
//
//	client := medlarplatform.New(medlarplatform.DefaultConfig("127.0.0.1:7700"))
//	defer client.Close()
//	operations := medlarplatform.NewOperationIDGenerator("entry-1", 7)
//	commit, err := client.Transact(ctx, operations.Next(), []medlarwheel.Write{{Key: "worker/w1", Value: value}})
//	var conflict *medlarwheel.ConflictError
//	switch {
//	case errors.As(err, &conflict): // not applied; conflict.Rows has the current rows
//	case err != nil && medlarplatform.MayHaveApplied(err): // unknown
//	case err != nil: // not applied
//	}
package medlarplatform
