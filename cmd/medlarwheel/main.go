// Command medlarwheel runs instances of the scheduler and provides the operator commands.
//
// # Usage
//
//	medlarwheel --help
package main

import (
	"os"

	"medlarwheel/medlarcommand"
)

func main() { os.Exit(medlarcommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
