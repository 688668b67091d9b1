// Command medlarwheel is the entry daemon and its operator commands.
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
