package rule

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=RequestKind -linecomment

// RequestKind says whether the requests of a route may run more than once.
type RequestKind int

// Kinds of requests. An upload is a request with a large body; like an unsafe one, it must not run more than once.
const (
	KindUnsafe     RequestKind = iota // unsafe
	KindIdempotent                    // idempotent
	KindDownload                      // download
	KindUpload                        // upload
)

// Repeatable reports whether a request may run more than once.
func (k RequestKind) Repeatable() bool { return k == KindIdempotent || k == KindDownload }

// ParseRequestKind returns the RequestKind with a name, or false if there is none.
func ParseRequestKind(name string) (RequestKind, bool) {
	for k := KindUnsafe; k <= KindUpload; k++ {
		if k.String() == name {
			return k, true
		}
	}
	return KindUnsafe, false
}
