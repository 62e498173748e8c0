package routingtable

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/state/rule"
)

// Table is a version of all routes, pools and bounds.
type Table struct {
	Version  uint64  `json:"version"`
	Routes   []route `json:"routes"`
	Services []pool  `json:"services"`
	Limits   *bound  `json:"limits,omitempty"`
}

// Patch is a change of named items of a Table.
type Patch struct {
	Version uint64 `json:"version"`
	Set     struct {
		Routes   []route `json:"routes"`
		Services []pool  `json:"services"`
		Limits   *bound  `json:"limits"`
	} `json:"set"`
	Drop struct {
		Routes   []string `json:"routes"`
		Services []string `json:"services"`
	} `json:"drop"`
}

// route is a rule.Route with times in milliseconds.
type route struct {
	Name                   string  `json:"name"`
	Host                   string  `json:"host"`
	Path                   string  `json:"path"`
	Kind                   string  `json:"kind"`
	TimeoutMillis          float64 `json:"timeout"`
	LatencyObjectiveMillis float64 `json:"aim"`
	Priority               int     `json:"rank"`
	Service                string  `json:"service,omitempty"`
	Split                  []part  `json:"split,omitempty"`
	MaxTries               int     `json:"tries"`
	more
}

type part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// pool is a rule.Pool with times in seconds.
type pool struct {
	Name              string  `json:"name"`
	HealthPath        string  `json:"health"`
	MaxConnections    int     `json:"connections"`
	ColdPeriodSeconds float64 `json:"cold"`
	ColdRate          float64 `json:"rate"`
	more
}

// bound is a rule.Bound with times in milliseconds.
type bound struct {
	MaxHeaderBytes      int     `json:"header"`
	MaxBodyBytes        int     `json:"body"`
	HeaderTimeoutMillis float64 `json:"read"`
	IdleTimeoutMillis   float64 `json:"idle"`
	more
}

// Decode reads a whole table.
func Decode(body []byte) (Table, error) {
	return decode[Table](body)
}

// DecodePatch reads a change of named items.
func DecodePatch(body []byte) (Patch, error) {
	return decode[Patch](body)
}

func decode[T any](body []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&v); err != nil {
		return v, errors.Wrap(err, "read table")
	}
	if dec.More() {
		return v, errors.New("read table: data after the table")
	}
	return v, nil
}

// FromRules returns the table that a set of rules puts in force.
func FromRules(version uint64, set *rule.Set) Table {
	t := Table{Version: version, Routes: []route{}, Services: []pool{}}
	for _, r := range set.Routes {
		t.Routes = append(t.Routes, routeOf(r))
	}
	for _, p := range set.Pools {
		t.Services = append(t.Services, pool{
			Name: p.Name, HealthPath: p.HealthPath, MaxConnections: p.MaxConnections,
			ColdPeriodSeconds: p.ColdPeriod.Seconds(), ColdRate: p.ColdRate, more: moreOf(p.UnknownFields),
		})
	}
	if b := set.CallerLimits; b != nil {
		t.Limits = &bound{MaxHeaderBytes: b.MaxHeaderBytes, MaxBodyBytes: b.MaxBodyBytes, HeaderTimeoutMillis: millis(b.HeaderTimeout), IdleTimeoutMillis: millis(b.IdleTimeout), more: moreOf(b.UnknownFields)}
	}
	return t
}

func routeOf(r rule.Route) route {
	out := route{
		Name: r.Name, Host: r.Host, Path: r.PathPrefix, Kind: r.Kind.String(),
		TimeoutMillis: millis(r.Timeout), LatencyObjectiveMillis: millis(r.LatencyObjective), Priority: r.Priority, MaxTries: r.MaxTries, more: moreOf(r.UnknownFields),
	}
	if !r.Weighted {
		out.Service = r.Services[0].Service
		return out
	}
	out.Split = lo.Map(r.Services, func(p rule.WeightedService, _ int) part { return part(p) })
	return out
}

// Apply returns the table with the changes of p.
func (t Table) Apply(p Patch) Table {
	next := Table{Version: p.Version, Limits: t.Limits}
	next.Routes = patched(t.Routes, p.Set.Routes, p.Drop.Routes, func(r route) string { return r.Name })
	next.Services = patched(t.Services, p.Set.Services, p.Drop.Services, func(s pool) string { return s.Name })
	if p.Set.Limits != nil {
		next.Limits = p.Set.Limits
	}
	return next
}

// patched replaces items by name in their places, appends new ones and leaves out dropped ones.
func patched[T any](old, set []T, drop []string, name func(T) string) []T {
	replaced := lo.KeyBy(set, name)
	gone := lo.Keyify(drop)
	var out []T
	for _, one := range old {
		n := name(one)
		if next, ok := replaced[n]; ok {
			out = append(out, next)
			delete(replaced, n)
			continue
		}
		if _, dropped := gone[n]; !dropped {
			out = append(out, one)
		}
	}
	for _, one := range set {
		if _, open := replaced[name(one)]; open {
			out = append(out, one)
			delete(replaced, name(one))
		}
	}
	return out
}

// TrafficRules returns the rules for the table, or an error that names the first wrong item.
func (t Table) TrafficRules() (rule.TrafficRules, error) {
	var out rule.TrafficRules
	for _, s := range t.Services {
		if s.Name == "" {
			return out, errors.New("a service has no name")
		}
		out.Pools = append(out.Pools, rule.Pool{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: s.MaxConnections,
			ColdPeriod: seconds(s.ColdPeriodSeconds), ColdRate: s.ColdRate, UnknownFields: s.text(),
		})
	}
	for _, r := range t.Routes {
		one, err := r.rule()
		if err != nil {
			return out, errors.Wrapf(err, "route %q", r.Name)
		}
		out.Routes = append(out.Routes, one)
	}
	if b := t.Limits; b != nil {
		out.CallerLimits = &rule.CallerLimits{MaxHeaderBytes: b.MaxHeaderBytes, MaxBodyBytes: b.MaxBodyBytes, HeaderTimeout: fromMillis(b.HeaderTimeoutMillis), IdleTimeout: fromMillis(b.IdleTimeoutMillis), UnknownFields: b.text()}
	}
	return out, nil
}

func (r route) rule() (rule.Route, error) {
	kind, ok := rule.ParseRequestKind(r.Kind)
	one := rule.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.Path, Kind: kind, Timeout: fromMillis(r.TimeoutMillis), LatencyObjective: fromMillis(r.LatencyObjectiveMillis),
		Priority: r.Priority, MaxTries: r.MaxTries, Weighted: len(r.Split) > 0, UnknownFields: r.text(),
	}
	switch {
	case r.Name == "":
		return one, errors.New("no name")
	case !ok:
		return one, errors.Newf("kind %q is unknown", r.Kind)
	case r.TimeoutMillis <= 0:
		return one, errors.New("no timeout")
	case one.Weighted == (r.Service != ""):
		return one, errors.New("want either a service or a split")
	}
	one.Services = lo.Map(r.Split, func(p part, _ int) rule.WeightedService { return rule.WeightedService(p) })
	if !one.Weighted {
		one.Services = []rule.WeightedService{{Service: r.Service, Weight: 1}}
	}
	return one, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
