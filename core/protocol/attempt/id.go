package attempt

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ID identifies one attempt; no two attempts of any two node incarnations share an ID.
type ID struct {
	Node        string // entry node that sends the attempt
	Incarnation uint64 // of the entry node
	Sequence    uint64 // number of the attempt within the incarnation
}

// String returns the form that ParseID reads: node/incarnation/sequence.
func (id ID) String() string {
	return id.Node + "/" + strconv.FormatUint(id.Incarnation, 10) + "/" + strconv.FormatUint(id.Sequence, 10)
}

// ParseID reads the form written by ID.String and returns an error for any other form.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" {
		return ID{}, errors.Newf("parse attempt ID %q: want node/incarnation/sequence", s)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "parse attempt ID %q: incarnation", s)
	}
	sequence, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return ID{}, errors.Wrapf(err, "parse attempt ID %q: sequence", s)
	}
	return ID{Node: parts[0], Incarnation: incarnation, Sequence: sequence}, nil
}
