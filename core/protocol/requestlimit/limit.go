package requestlimit

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Limit is the request limit of a back end as far as it is known; the zero value is an unknown limit.
type Limit struct {
	known     bool
	named     bool
	perSecond float64
}

// None returns the limit of a back end that is known to name none.
func None() Limit { return Limit{known: true} }

// New returns a limit in requests per second; below 0 counts as 0.
func New(perSecond float64) Limit {
	return Limit{known: true, named: true, perSecond: max(perSecond, 0)}
}

// Known reports whether the back end has been heard, with a limit or without one.
func (l Limit) Known() bool { return l.known }

// PerSecond returns the limit in requests per second, or false if none is known.
func (l Limit) PerSecond() (float64, bool) { return l.perSecond, l.named }

// Texts of limits without a number.
const (
	unknownText = "?"
	noneText    = "-"
)

// String returns the form that Parse reads.
func (l Limit) String() string {
	switch {
	case !l.known:
		return unknownText
	case !l.named:
		return noneText
	}
	return strconv.FormatFloat(l.perSecond, 'f', -1, 64)
}

// Parse reads the form written by Limit.String; it returns an error unless that is a finite number from 0 or a text for no
// limit or an unknown one.
func Parse(s string) (Limit, error) {
	switch s {
	case unknownText:
		return Limit{}, nil
	case noneText:
		return None(), nil
	}
	perSecond, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return Limit{}, errors.Wrapf(err, "parse request limit %q", s)
	}
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Limit{}, errors.Newf("parse request limit %q: want a number from 0", s)
	}
	return New(perSecond), nil
}
