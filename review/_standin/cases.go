package main

import "errors"

var (
	errNotAccepted = errors.New("a submission was not accepted")
	errNotStarted  = errors.New("a task was not started")
	errNoOwner     = errors.New("no instance owns the cell")
)
