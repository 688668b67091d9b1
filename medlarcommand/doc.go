// Package medlarcommand is the command line of medlarwheel: the daemon and the operator commands.
//
// Exit codes: 0 success, 1 failure, 2 bad input or usage, 3 conflict with another operator, 4 not found, 5 no entry
// instance could be reached or the platform is out, 6 the change may or may not have taken effect.
//
// # Usage
//
//	os.Exit(medlarcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package medlarcommand
