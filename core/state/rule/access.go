package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Access -linecomment

// Access says whether the requests of a route need the key of an account.
type Access int

// Access to a route. A rule that says nothing means keyed.
const (
	AccessUnset Access = iota //
	AccessKeyed               // no
	AccessOpen                // yes
)
