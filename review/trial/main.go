package main

import (
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// caseLimit is the time after which a case ends as one that could not run.
const caseLimit = 117 * time.Second

// workFolder is the temporary folder of the case.
var workFolder atomic.Value

// newWorkFolder creates the temporary folder of the case.
func newWorkFolder() (string, error) {
	folder, err := os.MkdirTemp("", "trial-")
	if err == nil {
		workFolder.Store(folder)
	}
	return folder, err
}

// options are the arguments that every case takes.
type options struct {
	programs string  // folder of the built programs
	names    string  // data file with messages of the operator
	trouble  bool    // carry out the disruption
	record   *record // what was sent, answered and run
}

// cases are the cases by name; each returns an exit code.
var cases = map[string]func(options) (int, error){
	"memory":   runMemory,
	"readback": runReadback,
	"stale":    runStale,
}

func main() {
	programs := flag.String("programs", "target", "folder of the built programs")
	names := flag.String("names", "", "data file with messages of the operator")
	path := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "carry out the disruption")
	flag.Parse()
	workFolder.Store("")
	go endAfter(caseLimit, func() string { return workFolder.Load().(string) })
	os.Exit(run(flag.Arg(0), *programs, *names, *path, *trouble))
}

func run(name, programs, names, path string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.line("case %s, disruption %v", name, trouble)
	code, err := play(options{programs: programs, names: names, trouble: trouble, record: rec})
	if err != nil {
		rec.line("could not run: %v", err)
		code = exitNotRun
	}
	rec.line("exit code %d", code)
	return code
}
