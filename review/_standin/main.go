// Command standin plays one case of the review: it starts instances of medlarwheel as separate processes and stands in for
// the platform's store, the runners and the clients, as the users' pages describe them.
//
// Usage: standin CASE PROGRAM RECORD, with TROUBLE=0 in the environment to leave out the disruption. It exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 118 * time.Second

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"large-row":   playLargeRow,
	"crash-blame": playCrashBlame,
	"moved-queue": playMovedQueue,
	"lost-cancel": playLostCancel,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitCannotRun)
	}
	w, err := newWorld(abasSertao, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	code := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		switch {
		case err != nil:
			w.note("cannot run: %v", err)
			code <- exitCannotRun
		case broken:
			w.note("verdict: rule broken")
			code <- exitBroken
		default:
			w.note("verdict: rule held")
			code <- exitHeld
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := exitCannotRun
	select {
	case result = <-code:
	case <-interrupted:
		w.note("interrupted")
	case <-time.After(caseLimit):
		w.note("cannot run: the case took too long")
	}
	w.close()
	os.Exit(result)
}
