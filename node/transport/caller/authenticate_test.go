package caller_test

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenhill.example/core/protocol/attempt"
	"pollenhill.example/node/coordination/parent"
)

const accountRules = `format 1
change 2 # test: accounts
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
service records host=records.example path=/ # test: without routes
route read host=desk.example path=/read/ kind=idempotent within=5s aim=1s rank=2 tries=2 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=5s aim=1s rank=1 tries=2 to=desk open=no # test: bookings
route hours host=desk.example path=/hours/ kind=idempotent within=5s aim=1s rank=3 tries=2 to=desk open=yes # test: opening hours
account harbour keys=harbour-key-1,harbour-key-2 rank=0 # test: harbour office
account club keys=club-key # test: rowing club
`

const plainRules = `format 1
change 2 # test: no accounts
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=5s aim=1s rank=2 tries=2 to=desk # test: lookups
`

const (
	harbourKey = "Authorization: Bearer harbour-key-1"
	clubKey    = "Authorization: Bearer club-key"
	unknownKey = "Authorization: Bearer former-key"
)

// Guards against a request that runs without the key of an account, one with a key that is refused, routes that do not exist
// answered as if they did, and keys in the log.
func TestKeyDecidesWhoIsServed(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int
	}{
		"key":                          {get("/read/1", harbourKey), 200},
		"second key":                   {get("/read/1", "Authorization: Bearer harbour-key-2"), 200},
		"scheme in lower case":         {get("/read/1", "authorization: bearer  harbour-key-1 "), 200},
		"key on a booking":             {post("/book/1", "seat", clubKey), 200},
		"no key":                       {get("/read/1"), 401},
		"no key on a booking":          {post("/book/1", "seat"), 401},
		"unknown key":                  {get("/read/1", unknownKey), 401},
		"start of a key":               {get("/read/1", "Authorization: Bearer harbour-key"), 401},
		"key in other letters":         {get("/read/1", "Authorization: Bearer HARBOUR-KEY-1"), 401},
		"empty key":                    {get("/read/1", "Authorization: Bearer"), 401},
		"empty header":                 {get("/read/1", "Authorization:"), 401},
		"other scheme":                 {get("/read/1", "Authorization: Basic harbour-key-1"), 401},
		"no scheme":                    {get("/read/1", "Authorization: harbour-key-1"), 401},
		"two keys":                     {get("/read/1", harbourKey, unknownKey), 401},
		"same key twice":               {get("/read/1", harbourKey, harbourKey), 401},
		"two keys in one header":       {get("/read/1", "Authorization: Bearer harbour-key-1, Bearer club-key"), 401},
		"absolute target, unknown key": {strings.Replace(get("/read/1", unknownKey), "GET /", "GET http://desk.example/", 1), 401},
		"service line without key":     {strings.Replace(get("/x"), "desk.example", "records.example", 1), 401},
		"open route":                   {get("/hours/1"), 200},
		"open route, key":              {get("/hours/1", clubKey), 200},
		"open route, other scheme":     {get("/hours/1", "Authorization: Basic eDp5"), 200},
		"open route, unknown key":      {get("/hours/1", unknownKey), 401},
		"out of an open route":         {get("/hours/../read/1"), 401},
		"out of an open route, coded":  {get("/hours/%2E%2e%2fread/1"), 401},
		"two dots in a name":           {get("/hours/a..b?x=/../"), 200},
		"no route":                     {get("/none"), 404},
		"no route, unknown key":        {get("/none", unknownKey), 404},
		"no route, key":                {get("/none", clubKey), 404},
	}
	s := startServer(t)
	s.apply(t, 2, accountRules)
	for name, test := range tests {
		resp := s.exchange(t, test.text)
		if resp.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, test.status)
		}
		challenge := resp.Header.Get("WWW-Authenticate")
		if (test.status == 401) != strings.HasPrefix(challenge, `Bearer realm="`) {
			t.Errorf("%s: status %d with challenge %q", name, resp.StatusCode, challenge)
		}
		if test.status == 401 && resp.Header.Get(attempt.HeaderOutcome) != attempt.NotRun.String() {
			t.Errorf("%s: outcome %q", name, resp.Header.Get(attempt.HeaderOutcome))
		}
		if sent := len(s.sender.take()); (sent > 0) != (test.status == 200) {
			t.Errorf("%s: %d attempts", name, sent)
		}
	}
	if s.refusedKeys(true) == 0 || s.refusedKeys(false) == 0 {
		t.Errorf("refused keys are not reported: %v", s.keysRefused)
	}
	log := s.logText()
	if !strings.Contains(log, `"event":1030`) || !strings.Contains(log, `"event":1007`) {
		t.Errorf("refused keys or served calls are not logged: %s", log)
	}
	if strings.Contains(strings.ToLower(log), "-key") {
		t.Errorf("a key is logged: %s", log)
	}
}

// Guards against a node that has just started and tells callers with good keys to give up: 401 is not tried again.
func TestNodeWithoutRulesRefusesNoKey(t *testing.T) {
	s := startServer(t)
	for _, text := range []string{get("/read/1", clubKey), get("/read/1"), post("/book/1", "seat", unknownKey)} {
		if got := s.exchange(t, text).StatusCode; got != 503 {
			t.Errorf("status %d, want 503", got)
		}
	}
}

// Guards against a node that knows of newer rules and tells callers to give up: the route or the key that it does not know may have
// just been added (DENIED and CONFIG on tafraout-thumbs-grown: 404 for the routes of a table that grew).
func TestNodeWithOlderRulesRefusesNothingForGood(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	for _, test := range []struct {
		text             string
		status, outdated int
	}{
		{get("/read/1", clubKey), 200, 200},
		{get("/read/1", unknownKey), 401, 503},
		{post("/book/1", "seat", unknownKey), 401, 503},
		{get("/new/1", clubKey), 404, 503},
	} {
		s.outdated.Store(false)
		current := s.exchange(t, test.text).StatusCode
		s.outdated.Store(true)
		if got := s.exchange(t, test.text).StatusCode; current != test.status || got != test.outdated {
			t.Errorf("%s: status %d with newest rules, %d with older ones, want %d and %d", test.text, current, got, test.status, test.outdated)
		}
	}
}

// Guards against deployments without accounts that lose the credentials which their back ends check themselves.
func TestWithoutAccountsCredentialsArePassedOn(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, plainRules)
	if got := s.exchange(t, get("/read/1", "Authorization: Basic eDp5", "Test-Account: own")).StatusCode; got != 200 {
		t.Fatalf("status %d", got)
	}
	h := &s.sender.take()[0].request.Header
	if got := string(h.Peek("Authorization")); got != "Basic eDp5" {
		t.Errorf("Authorization %q", got)
	}
	if got := string(h.Peek("Test-Account")); got != "own" {
		t.Errorf("Test-Account %q", got)
	}
}

// Guards against an account whose priority does not go before that of the route.
func TestAccountPriorityOnAttempt(t *testing.T) {
	tests := []struct {
		text    string
		account string
		rank    int
	}{
		{get("/read/1", harbourKey), "harbour", 0},
		{get("/read/1", clubKey), "club", 2},
		{get("/hours/1"), "", 3},
		{get("/hours/1", harbourKey), "harbour", 0},
	}
	s := startServer(t)
	s.apply(t, 2, accountRules)
	for _, test := range tests {
		s.exchange(t, test.text)
		a := s.sender.take()[0].attempt
		if a.Account != test.account || a.Rank != test.rank {
			t.Errorf("%q: account %q, rank %d", test.text, a.Account, a.Rank)
		}
	}
}

// Guards against an unknown key that is refused only once the body has come: callers could make nodes hold bodies that
// nobody pays for, and would learn late that they are refused.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	for name, line := range map[string]string{"length": "Content-Length: 9", "chunks": "Transfer-Encoding: chunked", "expectation": "Content-Length: 9\r\nExpect: 100-continue"} {
		c := s.connect(t)
		c.send("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n" + unknownKey + "\r\n" + line + "\r\n\r\n")
		if resp := c.response(); resp.StatusCode != 401 || !resp.Close {
			t.Errorf("%s: status %d, close %t", name, resp.StatusCode, resp.Close)
		}
		c.Close()
	}
}

// Guards against a connection that is kept after a request was refused with its body unread: the body would be read as the
// next request.
func TestRefusedBodyIsNoRequest(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	c := s.connect(t)
	defer c.Close()
	body := get("/hours/smuggled")
	text := post("/book/1", body+"rest", unknownKey)
	c.send(strings.TrimSuffix(text, "rest"))
	if got := c.response().StatusCode; got != 401 {
		t.Errorf("status %d", got)
	}
	if _, err := http.ReadResponse(c.r, nil); err == nil {
		t.Error("the body was answered as a request")
	}
	if sent := s.sender.take(); len(sent) > 0 {
		t.Errorf("the body was run as a request: %s", sent[0].request.Header.RequestURI())
	}
}

// Guards against callers that lose their connection, and requests behind theirs, with each refused request that has a short
// body.
func TestConnectionIsKeptIfTheBodyIsThere(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	c := s.connect(t)
	defer c.Close()
	c.send(post("/book/1", "seat", unknownKey) + get("/read/1", clubKey))
	if first, second := c.response().StatusCode, c.response().StatusCode; first != 401 || second != 200 {
		t.Errorf("status %d and %d", first, second)
	}
}

const revokedRules = `format 1
change 3 # test: a key less
pool desk health=/health connections=20 cold=1s rate=100 # test: one service
route read host=desk.example path=/read/ kind=idempotent within=5s aim=1s rank=2 tries=2 to=desk # test: lookups
route book host=desk.example path=/book/ kind=unsafe within=5s aim=1s rank=1 tries=2 to=desk # test: bookings
account harbour keys=harbour-key-2 # test: harbour office
`

// Guards against a key that works on after it was removed, on a connection on which it has worked before.
func TestRemovedKeyIsRefusedOnKeptConnection(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	c := s.connect(t)
	defer c.Close()
	c.send(get("/read/1", harbourKey))
	before := c.response().StatusCode
	s.apply(t, 3, revokedRules)
	c.send(get("/read/2", harbourKey))
	after := c.response().StatusCode
	c.send(get("/read/3", "Authorization: Bearer harbour-key-2"))
	if other := c.response().StatusCode; before != 200 || after != 401 || other != 200 {
		t.Errorf("status %d before, %d after, %d with the key that stays", before, after, other)
	}
}

// Guards against a removed key that still works for a request which was sent behind one that was being answered.
func TestRemovedKeyIsRefusedForPipelinedRequest(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	hold := make(chan struct{})
	s.sender.setHold(hold)
	c := s.connect(t)
	defer c.Close()
	// The bookings run one after the other, so that the second one is read only after the first is answered.
	c.send(post("/book/1", "seat", harbourKey) + post("/book/2", "seat", harbourKey))
	<-s.sender.started
	s.apply(t, 3, revokedRules)
	close(hold)
	if first, second := c.response().StatusCode, c.response().StatusCode; first != 200 || second != 401 {
		t.Errorf("status %d and %d", first, second)
	}
}

// Guards against a key that is checked only when the header arrives: it may be removed while the body is on its way.
func TestRemovedKeyIsRefusedAfterTheBody(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	c := s.connect(t)
	defer c.Close()
	text := post("/book/1", "seat", harbourKey, "Expect: 100-continue")
	c.send(strings.TrimSuffix(text, "seat"))
	if got := c.response().StatusCode; got != 100 {
		t.Fatalf("status %d, want 100: the header is accepted", got)
	}
	s.apply(t, 3, revokedRules)
	c.send("seat")
	if got := c.response().StatusCode; got != 401 {
		t.Errorf("status %d", got)
	}
}

// Guards against a call of the local back end that loses the account and rank of the request for which it is made, and one
// that gains those of a request which the back end does not run.
func TestCallOfBackendInheritsFromItsParent(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	end := s.parents.Start("p1", parent.Request{Account: "harbour", Rank: 0})
	tests := []struct {
		text    string
		account string
		rank    int
		named   string // in the header to the back end
	}{
		{get("/hours/1", "Test-Request: p1.c1"), "harbour", 0, ""},
		{get("/hours/1", "Test-Request: p1.c1", "Test-Account: harbour"), "harbour", 0, ""},
		{get("/hours/1", "Test-Request: p2.c1"), "", 3, ""},
		{get("/hours/1", "Test-Request: p1"), "", 3, ""},
		{get("/hours/1", "Test-Request: p1.c1", "Test-Request: p1.c2"), "", 3, ""},
		{get("/hours/1", "Test-Request: p1.c1", clubKey), "club", 3, "club"},
	}
	check := func(want int) {
		for _, test := range tests[:want] {
			s.exchange(t, test.text)
			got := s.sender.take()[0]
			if got.attempt.Account != test.account || got.attempt.Rank != test.rank || string(got.request.Header.Peek("Test-Account")) != test.named {
				t.Errorf("%q: account %q, rank %d, header %q", test.text, got.attempt.Account, got.attempt.Rank, got.request.Header.Peek("Test-Account"))
			}
		}
	}
	check(len(tests))
	if got := s.exchange(t, get("/read/1", "Test-Request: p1.c1")).StatusCode; got != 401 {
		t.Errorf("a call without a key on a route that needs one: status %d", got)
	}
	end()
	tests[0].account, tests[0].rank = "", 3
	check(1)
}

// Guards against a key, or the name of an account that the caller chose, on its way to another node or a back end, whatever
// headers a caller sends and however many attempts its request takes.
func TestIdentityOfCallerIsSetByTheNode(t *testing.T) {
	s := startServer(t)
	s.apply(t, 2, accountRules)
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{
			"Test-Account: forged", "test-account: forged", "TEST-ACCOUNT:forged", "Test-Account:",
			"Pollenhill-Account: forged", "pollenhill-account: forged", "Pollenhill-Rank: 0", "Pollenhill-Priority: high",
			"Pollenhill-Route: forged", "Pollenhill-Service: forged", "Pollenhill-Attempt: e/1/1",
			"Connection: Test-Account", "Connection: Authorization, Test-Account", "Connection: keep-alive", "X-Club: row",
		}), 0, 6).Draw(t, "lines")
		key := rapid.SampledFrom([]string{"", harbourKey, clubKey}).Draw(t, "key")
		path := rapid.SampledFrom([]string{"/hours/1", "/read/1", "/book/1"}).Draw(t, "path")
		if key != "" {
			lines = append(lines, key)
		}
		lines = rapid.Permutation(lines).Draw(t, "order")
		text := get(path, lines...)
		if rapid.Bool().Draw(t, "chunked") {
			trailer := rapid.SampledFrom([]string{"", "Test-Account: forged\r\n", "X-Late: 1\r\n"}).Draw(t, "trailer")
			text = "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\nTrailer: Test-Account, X-Late\r\n" +
				headerLines(lines) + "\r\n4\r\nseat\r\n0\r\n" + trailer + "\r\n"
		}
		s.sender.setRefusals(rapid.IntRange(0, 1).Draw(t, "refusals"))
		status := s.exchange(t, text).StatusCode
		sent := s.sender.take()
		if key == "" && path != "/hours/1" {
			if status != 401 || len(sent) > 0 {
				t.Fatalf("without a key: status %d, %d attempts", status, len(sent))
			}
			return
		}
		if len(sent) == 0 {
			t.Fatalf("status %d, no attempt", status)
		}
		want := map[string]string{harbourKey: "harbour", clubKey: "club"}[key]
		for _, a := range sent {
			checkIdentity(t, a, want)
		}
	})
}

// checkIdentity fails if an attempt tells another account than want, or contains a key.
func checkIdentity(t *rapid.T, a sentAttempt, want string) {
	t.Helper()
	if a.attempt.Account != want {
		t.Fatalf("attempt of account %q, want %q", a.attempt.Account, want)
	}
	named := 0
	for name, value := range a.request.Header.All() {
		switch {
		case strings.Contains(string(value), "-key") || strings.EqualFold(string(name), "Authorization"):
			t.Fatalf("header %s: %s holds a key", name, value)
		case strings.Contains(string(value), "forged"):
			t.Fatalf("header %s: %s is the caller's", name, value)
		case strings.EqualFold(string(name), "Test-Account") && string(value) == want && want != "":
			named++
		case strings.EqualFold(string(name), "Test-Account"), strings.HasPrefix(string(name), "Pollenhill-"):
			t.Fatalf("header %s: %s", name, value)
		}
	}
	if want != "" && named != 1 {
		t.Fatalf("the account is named %d times", named)
	}
}
