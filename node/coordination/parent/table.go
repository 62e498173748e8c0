package parent

import (
	"strings"
	"sync"
)

// maxRequests limits a Table. A back end runs fewer requests at once than it has connections, of which a pool has hundreds.
const maxRequests = 4096

// Request is what the calls that a back end makes for a request inherit from it.
type Request struct {
	Account string // empty for none
	Rank    int    // priority number, 0 for the most urgent
}

// Table holds the requests that a back end runs by their IDs; it is safe for concurrent use. The zero Table is empty.
type Table struct {
	mu      sync.Mutex
	running map[string]*entry
}

// entry holds the requests with one ID.
type entry struct {
	request   Request
	count     int  // requests that run
	ambiguous bool // requests with other values had the same ID, so that a call proves nothing
}

// Start stores a request until the returned function is called. Without an ID, or in a full table, it stores nothing.
func (t *Table) Start(id string, r Request) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]*entry{}
	}
	e, ok := t.running[id]
	if !ok {
		if id == "" || len(t.running) >= maxRequests {
			return func() {}
		}
		e = &entry{request: r}
		t.running[id] = e
	}
	e.count++
	e.ambiguous = e.ambiguous || e.request != r
	return sync.OnceFunc(func() { t.end(id, e) })
}

func (t *Table) end(id string, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.count--; e.count == 0 {
		delete(t.running, id)
	}
}

// Of returns the request for which a call with the given ID is made, or false if the back end runs no such request or
// several that differ.
func (t *Table) Of(callID string) (Request, bool) {
	dot := strings.LastIndexByte(callID, '.')
	if dot < 0 {
		return Request{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.running[callID[:dot]]
	if !ok || e.ambiguous {
		return Request{}, false
	}
	return e.request, true
}

// Len returns the number of IDs in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}
