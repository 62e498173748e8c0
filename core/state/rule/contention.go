package rule

import "slices"

// RanksByCost reports whether back ends decide by what a delay costs callers which requests give way under overload. It
// holds for rules in which callers compete for the same back ends: client accounts, or uploads, which occupy a back end
// for long and can't be repeated.
func (s *Set) RanksByCost() bool { return s.ranksByCost }

func (s *Set) indexContention() {
	upload := func(r Route) bool { return r.Kind == KindUpload }
	s.ranksByCost = s.RequiresKeys() || slices.ContainsFunc(s.Routes, upload)
}
