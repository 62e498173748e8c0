// Command standin plays one case of the review: it starts the project's programs as separate processes and stands in for
// clients, back ends and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxLength bounds a case; a case that takes longer could not run.
const maxLength = 110 * time.Second

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(r *record, trouble bool) error{
	"endless":  endless,
	"stale":    stale,
	"gone":     gone,
	"cold":     cold,
	"writer":   writer,
	"founding": founding,
}

func main() {
	os.Exit(play())
}

// play runs the case named by the first argument and writes the record named by the second.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitCannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t, %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	time.AfterFunc(maxLength, func() {
		r.add("the case could not run: it takes longer than %v", maxLength)
		os.Exit(exitCannotRun) // the processes that it started end with it
	})
	err = cases[os.Args[1]](r, trouble)
	switch {
	case err == nil:
		r.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	r.add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitCannotRun
}

// pollUntil calls f until it returns true or the time is over.
func pollUntil(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
