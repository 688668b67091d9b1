// Command standin3 plays the script cases of the third review: it emulates the platform and its workers on loopback
// addresses, starts instances of the program as separate processes, and checks one rule.
//
// # Usage
//
//	standin3 CASE PROGRAM RECORD
//
// PROGRAM is the program that the deploy file builds, and RECORD the file to which the case writes what was sent, answered
// and run. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the case leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	statusHeld, statusBroken, statusNotRun = 0, 1, 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"flapping-worker": flappingWorker,
	"other-kind":      otherKind,
}

func main() {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, path string) int {
	w, err := newWorld(program, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer w.close()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return statusNotRun
	case broken:
		w.note("the rule was BROKEN")
		return statusBroken
	}
	w.note("the rule held")
	return statusHeld
}
