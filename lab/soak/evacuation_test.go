package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// heldUpCall sends a call about a zone and waits a second for its response, which must not come; with keepOpen the connection
// stays open until the test ends.
func heldUpCall(t *testing.T, target, method, zone string, keepOpen bool) {
	t.Helper()
	c, err := net.Dial("tcp", target)
	if err != nil {
		t.Fatal(err)
	}
	if keepOpen {
		t.Cleanup(func() { c.Close() })
	} else {
		defer c.Close()
	}
	fmt.Fprintf(c, "%s /zones/%s/out HTTP/1.1\r\nHost: control\r\n\r\n", method, zone)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		t.Fatal("the call that is held up was answered")
	}
}

// Guards against a stopped control process that carries out an old withdrawal once it goes on, after the zone was evacuated again
// elsewhere (EVAC, issue 30).
func TestStoppedControlProcessDoesNotUndoEvacuation(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	const zone = 0
	for _, keepOpen := range []bool{false, true} {
		for stopped := range c.controls {
			t.Logf("control-%d is stopped, connection kept open %v", stopped+1, keepOpen)
			other := (stopped + 1) % len(c.controls)
			c.order(other, http.MethodPut, zones[zone])
			c.controls[stopped].freeze(t)
			heldUpCall(t, c.control(stopped), http.MethodDelete, zones[zone], keepOpen)
			c.order(other, http.MethodDelete, zones[zone])
			c.order(other, http.MethodPut, zones[zone])
			c.controls[stopped].signal(syscall.SIGCONT)
			c.expectEmpty(zone)
			c.order(other, http.MethodDelete, zones[zone])
		}
	}
}

// Guards against a node that goes on with old rules after it was stopped, and against a control process that was stopped and
// feeds nodes the rules from before.
func TestStoppedProcessesFollowEvacuation(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	const zone = 1
	for _, stopped := range append(append([]*process{}, c.nodes[0]), c.controls...) {
		t.Logf("%s is stopped", stopped.name)
		stopped.freeze(t)
		c.eventually("the evacuation is acknowledged", func() bool {
			for i, p := range c.controls {
				if p != stopped && c.call(i, http.MethodPut, "/zones/"+zones[zone]+"/out", "", time.Second) == http.StatusOK {
					return true
				}
			}
			return false
		})
		<-time.After(2 * time.Second)
		stopped.signal(syscall.SIGCONT)
		c.expectEmpty(zone)
		c.eventually("the withdrawal is acknowledged", func() bool {
			return c.call(0, http.MethodDelete, "/zones/"+zones[zone]+"/out", "", time.Second) == http.StatusOK
		})
	}
}

// maxHeld is the longest request that holdingProxy keeps, in bytes.
const maxHeld = 4 << 10

// holdingProxy forwards connections to a target; while hold is not closed, it keeps what callers send.
func holdingProxy(t *testing.T, target string, hold <-chan struct{}) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer out.Close()
				go func() { _, _ = io.Copy(in, out) }()
				request := make([]byte, maxHeld)
				n, _ := in.Read(request)
				<-hold
				_, _ = out.Write(request[:n])
				_, _ = io.Copy(out, in) // ends when the caller closes
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a withdrawal that the network held up until its caller had given it up and evacuated the zone again.
func TestHeldUpWithdrawalDoesNotUndoEvacuation(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	const zone = 2
	for _, keepOpen := range []bool{false, true} {
		t.Logf("connection kept open %v", keepOpen)
		c.order(1, http.MethodPut, zones[zone])
		release := make(chan struct{})
		proxy := holdingProxy(t, c.control(0), release)
		heldUpCall(t, proxy, http.MethodDelete, zones[zone], keepOpen)
		c.order(1, http.MethodDelete, zones[zone])
		c.order(1, http.MethodPut, zones[zone])
		close(release)
		c.expectEmpty(zone)
		c.order(1, http.MethodDelete, zones[zone])
	}
}
