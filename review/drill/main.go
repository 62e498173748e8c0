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
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// trouble says which disruptions a case brings about.
type trouble int

const (
	none trouble = iota // TROUBLE=0
	part                // TROUBLE=part, all but the late reports
	all                 // otherwise
)

func readTrouble() trouble {
	switch os.Getenv("TROUBLE") {
	case "0":
		return none
	case "part":
		return part
	}
	return all
}

// scenario plays one case and returns whether the rule was broken.
type scenario func(rec *record, t trouble) (brokenRule bool, err error)

var scenarios = map[string]scenario{
	"power-loss":   powerLoss,
	"late-report":  lateReport,
	"cold-report":  coldReport,
	"cold-restart": coldRestart,
	"keyed-lookup": keyedLookup,
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill SCENARIO RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go giveUp(rec)
	brokenRule, err := scenarios[os.Args[1]](rec, readTrouble())
	code, verdict := held, "the rule held"
	switch {
	case err != nil:
		code, verdict = failed, "could not run: "+err.Error()
	case brokenRule:
		code, verdict = broken, "the rule was broken"
	}
	finish(rec, code, verdict)
}

// giveUp ends all processes and the case after maxTime or a signal.
func giveUp(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	closeWorlds()
	finish(rec, failed, "could not run: ended before the case was through")
}

func finish(rec *record, code int, verdict string) {
	rec.add("%s", verdict)
	rec.close()
	fmt.Println(verdict)
	os.Exit(code)
}
