package caller_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"pollenhill.example/node/coordination/parent"
)

// fakeAllowances admits requests until room is used up.
type fakeAllowances struct {
	mu        sync.Mutex
	room      int
	asked     []string
	givenBack []string
}

func (f *fakeAllowances) Admit(account string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, account)
	f.room--
	return 1500 * time.Millisecond, f.room >= 0
}

func (f *fakeAllowances) GiveBack(account string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.givenBack = append(f.givenBack, account)
}

// take returns the accounts that were asked for and given back since the last call.
func (f *fakeAllowances) take() (asked, givenBack []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked, givenBack = f.asked, f.givenBack
	f.asked, f.givenBack = nil, nil
	return asked, givenBack
}

// Guards against a request over the allowance that reaches a back end, or is refused with another status or a Retry-After that
// comes before the named time.
func TestRequestOverAllowanceIsRefused(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	s.allowances.room = 1
	if got := s.exchange(t, get("/read/1", clubKey)); got.StatusCode != 200 {
		t.Fatalf("within the allowance: status %d", got.StatusCode)
	}
	s.sender.take()
	got := s.exchange(t, get("/read/1", clubKey))
	if wait := got.Header.Get("Retry-After"); got.StatusCode != 429 || wait < "1.5" || wait > "1.7" {
		t.Errorf("over the allowance: status %d, Retry-After %q", got.StatusCode, wait)
	}
	if sent := s.sender.take(); len(sent) > 0 {
		t.Errorf("%d attempts of a request over the allowance", len(sent))
	}
}

// Guards against requests that count twice, or that count although they have no account of their own.
func TestRequestCountsOnce(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	s.allowances.room = 100
	defer s.parents.Start("p1", parent.Request{Account: "harbour"})()
	tests := map[string][]string{
		get("/read/1", clubKey):                   {"club"},
		get("/read/2", unknownKey):                nil,
		get("/hours/1"):                           nil,
		get("/hours/1", "Test-Request: p1.c1"):    nil,
		get("/nothing", clubKey):                  nil,
		post("/book/1", "seat", harbourKey):       {"harbour"},
		get("/read/1", "Authorization: Bearer x"): nil,
	}
	for text, want := range tests {
		s.exchange(t, text)
		if asked, givenBack := s.allowances.take(); !slices.Equal(asked, want) || len(givenBack) > 0 {
			t.Errorf("%q: counted for %v, given back for %v", text, asked, givenBack)
		}
	}
}

// Guards against a retry that counts once more.
func TestRetryDoesNotCount(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	for range 50 { // fills the retry budget
		s.exchange(t, get("/read/1", clubKey))
	}
	s.allowances.take()
	s.sender.take()
	s.sender.setRefusals(1)
	got := s.exchange(t, get("/read/1", clubKey))
	asked, givenBack := s.allowances.take()
	if sent := len(s.sender.take()); got.StatusCode != 200 || sent != 2 || len(asked) != 1 || len(givenBack) > 0 {
		t.Errorf("status %d, %d attempts, counted %d times, given back %d times", got.StatusCode, sent, len(asked), len(givenBack))
	}
}

// Guards against a request that no back end has run but that uses up the allowance.
func TestRequestThatDidNotRunIsGivenBack(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	s.allowances.room = 100
	s.sender.setRefusals(100)
	if got := s.exchange(t, get("/read/1", clubKey)); got.StatusCode != 503 {
		t.Fatalf("status %d", got.StatusCode)
	}
	if _, givenBack := s.allowances.take(); !slices.Equal(givenBack, []string{"club"}) {
		t.Errorf("given back for %v", givenBack)
	}
}
