// Package medlarprocess holds what the stand-in programs share: flags that may also be set by the environment, the log,
// an HTTP server that ends with its context, and JSON answers and calls.
//
// # Usage
//
//	func Command() *cobra.Command {
//		command := &cobra.Command{Use: "runner", RunE: func(c *cobra.Command, _ []string) error {
//			return medlarprocess.Serve(c.Context(), medlarprocess.NewLogger(c.ErrOrStderr()), listen, handler)
//		}}
//		return command
//	}
package medlarprocess
