package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=RequestKind -linecomment

// RequestKind says what may be repeated of the requests of a route.
type RequestKind int

// Kinds of requests.
const (
	KindUnsafe     RequestKind = iota // unsafe
	KindIdempotent                    // idempotent
	KindDownload                      // download
)

// Repeatable says whether a request may run more than once.
func (k RequestKind) Repeatable() bool { return k != KindUnsafe }

// ParseRequestKind reads the name of a Kind.
func ParseRequestKind(name string) (RequestKind, bool) {
	for k := KindUnsafe; k <= KindDownload; k++ {
		if k.String() == name {
			return k, true
		}
	}
	return KindUnsafe, false
}
