// Package medlarcommand is the command line of medlarwheel: the commands that run instances, and the operator commands.
//
// Exit codes: 0 success, 1 failure, 2 invalid input or usage, 3 conflict with another operator's change, 4 not found, 5 no
// entry instance was reachable or the platform is unavailable, 6 the change may or may not have taken effect.
//
// # Usage
//
//	os.Exit(medlarcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
package medlarcommand
