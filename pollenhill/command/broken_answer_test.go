package command_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"pollenhill.example/pollenhill/command"
)

// serveRaw answers each connection with raw bytes, whatever it asks, and closes it; it returns the address.
func serveRaw(t *testing.T, raw string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				fmt.Fprint(c, raw)
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against an answer that is none, or that is cut, and is shown to the operator as the rules in force: a blank in the name of
// a field hides the line, and the end of the connection looks like that of the body.
func TestBrokenAnswerIsNoAnswer(t *testing.T) {
	body, err := proto.Marshal(newRulesResponse(7, ruleFile))
	if err != nil {
		t.Fatal(err)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, raw := range map[string]string{
		"blank in a name":         fmt.Sprintf("%sX Y: 1\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"blank behind the length": fmt.Sprintf("%sContent-Length : 5\r\n\r\n%s", head, body),
		"cut between fields":      head + "\r\n",
		"status 000":              fmt.Sprintf("HTTP/1.1 000 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		if code, out, _ := runCommand(t, "", "show", "--control", serveRaw(t, raw)); code != command.ExitUnreachable {
			t.Errorf("%s: exit code %d, output %q", name, code, out)
		}
	}
}
