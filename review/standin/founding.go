package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	secondStart   = 250 * time.Millisecond // from the start of the first control process
	thirdStart    = 300 * time.Millisecond // the same; the pages name 0.3 s
	downTime      = time.Second            // of the control process that loses its disk
	recoveryTime  = 15 * time.Second       // recovery_s, after all are back
	readBackTime  = 10 * time.Second       // for which the table is read back
	foundingLimit = 20 * time.Second       // for the first acknowledgement
)

// founding lets the control process that acknowledges the first table lose its disk.
func founding(r *record, trouble bool) error {
	c, err := newCluster(r, "booking", "booking", "booking")
	if err != nil {
		return err
	}
	defer c.stop()
	begin := time.Now()
	for i, at := range []time.Duration{0, secondStart, thirdStart} {
		time.Sleep(time.Until(begin.Add(at)))
		if err := c.start(c.controls[i]); err != nil {
			return err
		}
	}
	giver := c.controls[2]
	if err := c.putFirstTable(giver, trouble); err != nil {
		return err
	}
	for _, v := range c.nodes {
		if err := c.start(v); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	if trouble {
		if err := c.start(giver); err != nil {
			return err
		}
	}
	time.Sleep(recoveryTime)
	if !c.readBack() {
		return fmt.Errorf("%w: the acknowledged table does not come back, %v after all processes are back", errBroken, recoveryTime+readBackTime)
	}
	return nil
}

// putFirstTable sends the first table to a control process until it acknowledges it. With trouble, the VM of the process then
// loses power and disk.
func (c *cluster) putFirstTable(giver *vm, trouble bool) error {
	raw, err := json.Marshal(bookingTable(time.Second))
	if err != nil {
		return err
	}
	o := newOperator(c)
	for end := time.Now().Add(foundingLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, answer, err := o.call(giver, http.MethodPut, "/table", "0", raw)
		if err != nil || status != http.StatusOK {
			c.record.add("operator: PUT /table at %s: status %d %v %.100s", giver.name, status, err, answer)
			continue
		}
		if trouble {
			_ = giver.process.Process.Signal(syscall.SIGKILL)
		}
		c.record.add("operator: PUT /table at %s: status 200", giver.name)
		if !trouble {
			return nil
		}
		<-giver.exited
		c.record.add("%s: has lost its power and its disk", giver.name)
		if err := os.RemoveAll(giver.data); err != nil {
			return err
		}
		return os.Mkdir(giver.data, 0o700)
	}
	return fmt.Errorf("the first table is not acknowledged")
}

// readBack reports whether any control process returns the table.
func (c *cluster) readBack() bool {
	o := newOperator(c)
	found := false
	for end := time.Now().Add(readBackTime); !found && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, v := range c.controls {
			status, answer, err := o.call(v, http.MethodGet, "/table", "", nil)
			c.record.add("operator: GET /table at %s: status %d %v %.120s", v.name, status, err, answer)
			var t table
			found = found || err == nil && status == http.StatusOK && json.Unmarshal(answer, &t) == nil && t.Version == 1
		}
	}
	return found
}
