package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// patience is the time after which the operator turns to another control process.
const patience = time.Second

// operator sends changes of the table to the control processes, and reads it.
type operator struct {
	addresses []string
	http      http.Client
	names     operatorNames
	next      int // control process that gets the next call
}

// operatorNames is the content of the data file: the calls and the parts of a table as the deploy folder names them.
type operatorNames struct {
	Path   string          `json:"path"`
	Base   string          `json:"base"`  // header with the version that a change builds on
	Route  string          `json:"route"` // one route as a format of its number, its number again and its timeout
	Rest   json.RawMessage `json:"rest"`  // the other parts of the table
	Number string          `json:"number"`
	List   string          `json:"list"`
}

func newOperator(path string, addresses []string) (*operator, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	op := &operator{addresses: addresses, http: http.Client{Timeout: patience}}
	return op, json.Unmarshal(raw, &op.names)
}

// table returns a whole table of a version; its routes differ from those of other versions in their timeouts. The last one has
// the given number.
func (op *operator) table(version, routes, last int) []byte {
	table := map[string]json.RawMessage{}
	_ = json.Unmarshal(op.names.Rest, &table)
	table[op.names.Number] = json.RawMessage(strconv.Itoa(version))
	var list bytes.Buffer
	list.WriteByte('[')
	for i := range routes {
		if i > 0 {
			list.WriteByte(',')
		}
		number := i
		if i == routes-1 {
			number = last
		}
		fmt.Fprintf(&list, op.names.Route, number, number, 1200+version)
	}
	list.WriteByte(']')
	table[op.names.List] = list.Bytes()
	return []byte(mustJSON(table))
}

// call sends one request to the next control process and returns its status, 0 without a response.
func (op *operator) call(method, base string, body []byte) (int, []byte) {
	address := op.addresses[op.next%len(op.addresses)]
	op.next++
	req, err := http.NewRequest(method, "http://"+address+op.names.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if base != "" {
		req.Header.Set(op.names.Base, base)
	}
	resp, err := op.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// change sends a table, again at the next control process while there is no clear answer, and reports whether it was
// acknowledged before the end.
func (op *operator) change(version, routes int, end time.Time) bool {
	return op.send(op.table(version, routes, routes-1), version-1, end)
}

// send sends a table that builds on a version, as change does.
func (op *operator) send(body []byte, base int, end time.Time) bool {
	for time.Now().Before(end) {
		status, _ := op.call(http.MethodPut, strconv.Itoa(base), body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusPreconditionFailed:
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// read returns the version of the table that a control process answers, 0 without a table.
func (op *operator) read() int {
	status, body := op.call(http.MethodGet, "", nil)
	if status != http.StatusOK {
		return 0
	}
	var table map[string]json.RawMessage
	if json.Unmarshal(body, &table) != nil {
		return 0
	}
	n, _ := strconv.Atoi(string(table[op.names.Number]))
	return n
}
