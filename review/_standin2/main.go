package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases maps the names of the cases to their players.
var cases = map[string]func(w *world, trouble bool) int{"start-burst": playStartBurst}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD; run it in the repository's root")
		return unable
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w, err := newWorld(rec, dir)
	if err != nil {
		rec.printf("cannot start the stand-ins: %v", err)
		return unable
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.close()
		os.Exit(unable)
	}()
	trouble := true
	if text := os.Getenv("TROUBLE"); text != "" {
		n, err := strconv.Atoi(text)
		trouble = err != nil || n != 0
	}
	return cases[os.Args[1]](w, trouble)
}
