// Package medlarprocess holds the helpers that all test doubles share: setting flags from environment variables, the
// logger, an HTTP server that shuts down when its context is cancelled, JSON responses and a JSON client.
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
