package rule

import (
	"crypto/sha256"
	"strconv"
	"strings"
)

// Account is a client account: the callers that send one of its keys, their priority and how much they may send.
type Account struct {
	Name          string
	Keys          []string `json:"-"` // the rule text holds them in the clear; no log, metric or message may
	Priority      *int     `json:"Rank,omitempty"`
	Rate          float64  `json:"Quota,omitempty"` // requests per second over all nodes; zero: no limit
	Burst         float64  `json:",omitempty"`      // requests above Rate at once over all nodes
	UnknownFields string   `json:"More,omitempty"`
}

// Limited reports whether the account has an allowance.
func (a Account) Limited() bool { return a.Rate > 0 }

// RequestPriority returns the priority number of a request of the account on a route with the given one: the account's own
// goes first.
func (a Account) RequestPriority(route int) int {
	if a.Priority != nil {
		return *a.Priority
	}
	return route
}

// KeyDigest identifies the key of an account without revealing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. A look-up by digest takes the same time however much of a guessed key is right.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// RequiresKeys reports whether requests need the key of an account, unless their route is open.
func (s *Set) RequiresKeys() bool { return len(s.Accounts) > 0 }

// KeyCount returns the number of keys of all accounts.
func (s *Set) KeyCount() int { return len(s.accountsByKey) }

// AccountByKey returns the account that holds a key, or false if none does.
func (s *Set) AccountByKey(key string) (Account, bool) {
	a, ok := s.accountsByKey[DigestKey(key)]
	if !ok {
		return Account{}, false
	}
	return *a, true
}

// indexAccounts indexes the accounts by the digests of their keys.
func (s *Set) indexAccounts() {
	s.accountsByKey = make(map[KeyDigest]*Account, len(s.Accounts))
	for i := range s.Accounts {
		a := &s.Accounts[i]
		for _, key := range a.Keys {
			s.accountsByKey[DigestKey(key)] = a
		}
	}
}

var accountOptions = []string{"keys", "rank", "quota", "burst", "more"}

func parseAccountRule(p *parser, l line) {
	args, ok := p.arguments(l, 1, len(accountOptions)+1)
	if !ok {
		return
	}
	name := unescape(args[0].text)
	opts, ok := p.parseOptions(l, args[1:], accountOptions...)
	if !ok || !p.registerOnce(l, args[0].offset, "account "+name, "the account "+name) {
		return
	}
	a := Account{
		Name:          name,
		Keys:          p.parseKeys(l, name, opts["keys"]),
		Rate:          p.optionalRate(l, opts["quota"]),
		Burst:         p.optionalRate(l, opts["burst"]),
		UnknownFields: unescape(opts["more"].text),
	}
	if w, ok := opts["rank"]; ok {
		rank := p.optionalInt(l, w)
		a.Priority = &rank
	}
	p.set.Accounts = append(p.set.Accounts, a)
}

// parseKeys parses a list of escaped keys, separated by commas. A problem names the accounts and never the key.
func (p *parser) parseKeys(l line, account string, w word) []string {
	var keys []string
	if w.text == "" {
		return keys
	}
	for item := range strings.SplitSeq(w.text, ",") {
		key := unescape(item)
		if key == "" {
			p.report(l, w.offset, "", "a key of account %q is empty", account)
			continue
		}
		if holder, taken := p.keyHolders[DigestKey(key)]; taken && holder != account {
			p.report(l, w.offset, "", "accounts %q and %q share a key", holder, account)
		}
		p.keyHolders[DigestKey(key)] = account
		keys = append(keys, key)
	}
	return keys
}

// optionalRate parses a number from 0; a missing one is 0.
func (p *parser) optionalRate(l line, w word) float64 {
	n := p.optionalFloat(l, w)
	if !(n >= 0) {
		p.report(l, w.offset, "", "%q is not a number from 0", w.text)
		return 0
	}
	return n
}

func (a Account) ruleText() string {
	var b strings.Builder
	b.WriteString("account " + escape(a.Name))
	keys := make([]string, len(a.Keys))
	for i, key := range a.Keys {
		keys[i] = escape(key)
	}
	writeOption(&b, "keys", strings.Join(keys, ","))
	if a.Priority != nil {
		writeOption(&b, "rank", strconv.Itoa(*a.Priority))
	}
	writeOption(&b, "quota", formatFloat(a.Rate))
	writeOption(&b, "burst", formatFloat(a.Burst))
	writeOption(&b, "more", escape(a.UnknownFields))
	return b.String()
}
