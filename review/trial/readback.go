package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"reflect"
	"strings"
	"time"
)

// Texts that the case exchanges in the data file's table, and its limits.
const (
	usualPeriod   = `"cold":3.0` // seconds for which a server is cold after its start
	changedPeriod = `"cold":4.1`
	readbackLimit = 15 * time.Second
	readbackReads = 20
)

// runReadback sends a table in which one service has another cold time, and compares what is read back with what was sent.
func runReadback(o options) (int, error) {
	folder, err := newWorkFolder()
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(folder)
	processes, addresses, err := controlProcesses(o, folder, 3)
	if err != nil {
		return exitNotRun, err
	}
	op, err := newOperator(o.names, addresses)
	if err != nil {
		return exitNotRun, err
	}
	for _, p := range processes {
		defer p.stop()
		if err := p.start(); err != nil {
			return exitNotRun, err
		}
	}
	if !op.change(1, 5, time.Now().Add(readbackLimit)) {
		return exitNotRun, errors.New("no control process acknowledged the first table")
	}
	body := string(op.table(2, 5, 4))
	if !strings.Contains(body, usualPeriod) {
		return exitNotRun, errors.New("the data file lacks " + usualPeriod)
	}
	if o.trouble {
		body = strings.Replace(body, usualPeriod, changedPeriod, 1)
	}
	if !op.send([]byte(body), 1, time.Now().Add(readbackLimit)) {
		return exitNotRun, errors.New("no control process acknowledged the change")
	}
	o.record.line("acknowledged: %s", body)
	var want, got any
	if err := json.Unmarshal([]byte(body), &want); err != nil {
		return exitNotRun, err
	}
	equal, other := 0, 0
	for range readbackReads {
		status, answer := op.call(http.MethodGet, "", nil)
		if status == http.StatusOK && json.Unmarshal(answer, &got) == nil {
			if reflect.DeepEqual(want, got) {
				equal++
			} else if other++; other == 1 {
				o.record.line("read back:    %s", answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.record.line("%d reads gave the table that was sent, %d another one under its number", equal, other)
	switch {
	case other > 0:
		o.record.line("CONFIG: the table that is read back isn't what was sent under its number")
		return exitBroken, nil
	case equal == 0:
		return exitNotRun, errors.New("no read was answered")
	}
	return exitHeld, nil
}
