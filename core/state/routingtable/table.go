package routingtable

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/state/jsonerror"
	"pollenhill.example/core/state/rule"
)

// Table is one version of all routes, pools, accounts and caller limits.
type Table struct {
	Version  uint64        `json:"version"`
	Routes   []route       `json:"routes"`
	Services []pool        `json:"services"`
	Limits   *callerLimits `json:"limits,omitempty"`
	Accounts []account     `json:"accounts,omitempty"`
}

// Patch sets and drops single items of a Table by their names.
type Patch struct {
	Version uint64 `json:"version"`
	Set     struct {
		Routes   []route       `json:"routes"`
		Services []pool        `json:"services"`
		Limits   *callerLimits `json:"limits"`
		Accounts []account     `json:"accounts"`
	} `json:"set"`
	Drop struct {
		Routes   []string `json:"routes"`
		Services []string `json:"services"`
		Accounts []string `json:"accounts"`
	} `json:"drop"`
}

// route is the JSON form of a rule.Route.
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
	Open                   *bool   `json:"open,omitempty"` // requests need no key; nil if the sender did not say
	unknownFields
}

// part is the JSON form of a rule.WeightedService.
type part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// pool is the JSON form of a rule.Pool.
type pool struct {
	Name              string  `json:"name"`
	HealthPath        string  `json:"health"`
	MaxConnections    int     `json:"connections"`
	ColdPeriodSeconds float64 `json:"cold"`
	ColdRate          float64 `json:"rate"`
	unknownFields
}

// account is the JSON form of a rule.Account.
type account struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"rank,omitempty"`
	Rate     float64  `json:"quota,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
	unknownFields
}

// callerLimits is the JSON form of rule.CallerLimits.
type callerLimits struct {
	MaxHeaderBytes      int     `json:"header"`
	MaxBodyBytes        int     `json:"body"`
	HeaderTimeoutMillis float64 `json:"read"`
	IdleTimeoutMillis   float64 `json:"idle"`
	unknownFields
}

// Decode reads a whole table from JSON.
func Decode(body []byte) (Table, error) {
	return decode[Table](body)
}

// DecodePatch reads a Patch from JSON.
func DecodePatch(body []byte) (Patch, error) {
	return decode[Patch](body)
}

func decode[T any](body []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&v); err != nil {
		return v, errors.Wrap(jsonerror.WithTypeNames(err, typeNames), "read table")
	}
	if dec.More() {
		return v, errors.New("read table: data after the table")
	}
	return v, nil
}

// typeNames maps the names of Go types in decoding errors to those that clients know.
var typeNames = strings.NewReplacer("routingtable.callerLimits", "table.bound", "routingtable.", "table.")

// FromRules returns the table that set puts in force; the rules do not contain its version.
func FromRules(version uint64, set *rule.Set) Table { return fromRules(version, set, conversion{}) }

func fromRules(version uint64, set *rule.Set, c conversion) Table {
	t := Table{Version: version, Routes: []route{}, Services: []pool{}}
	for _, r := range set.Routes {
		t.Routes = append(t.Routes, newRoute(r))
	}
	for _, p := range set.Pools {
		t.Services = append(t.Services, pool{
			Name:              p.Name,
			HealthPath:        p.HealthPath,
			MaxConnections:    p.MaxConnections,
			ColdPeriodSeconds: c.toSeconds(p.ColdPeriod),
			ColdRate:          p.ColdRate,
			unknownFields:     parseUnknownFields(p.UnknownFields),
		})
	}
	for _, a := range set.Accounts {
		t.Accounts = append(t.Accounts, account{
			Name:          a.Name,
			Keys:          append([]string{}, a.Keys...),
			Priority:      a.Priority,
			Rate:          a.Rate,
			Burst:         a.Burst,
			unknownFields: parseUnknownFields(a.UnknownFields),
		})
	}
	if l := set.CallerLimits; l != nil {
		t.Limits = &callerLimits{
			MaxHeaderBytes:      l.MaxHeaderBytes,
			MaxBodyBytes:        l.MaxBodyBytes,
			HeaderTimeoutMillis: toMillis(l.HeaderTimeout),
			IdleTimeoutMillis:   toMillis(l.IdleTimeout),
			unknownFields:       parseUnknownFields(l.UnknownFields),
		}
	}
	return t
}

func newRoute(r rule.Route) route {
	out := route{
		Name:                   r.Name,
		Host:                   r.Host,
		Path:                   r.PathPrefix,
		Kind:                   r.Kind.String(),
		TimeoutMillis:          toMillis(r.Timeout),
		LatencyObjectiveMillis: toMillis(r.LatencyObjective),
		Priority:               r.Priority,
		MaxTries:               r.MaxTries,
		Open:                   newOpen(r.Access),
		unknownFields:          parseUnknownFields(r.UnknownFields),
	}
	if !r.Weighted {
		out.Service = r.Services[0].Service
		return out
	}
	out.Split = lo.Map(r.Services, func(s rule.WeightedService, _ int) part { return part(s) })
	return out
}

// newOpen returns the JSON form of an Access.
func newOpen(a rule.Access) *bool {
	if a == rule.AccessUnset {
		return nil
	}
	open := a == rule.AccessOpen
	return &open
}

// access returns the Access that an open field stands for.
func access(open *bool) rule.Access {
	switch {
	case open == nil:
		return rule.AccessUnset
	case *open:
		return rule.AccessOpen
	}
	return rule.AccessKeyed
}

// Apply returns the table with the changes of p.
func (t Table) Apply(p Patch) Table {
	next := Table{Version: p.Version, Limits: t.Limits}
	next.Routes = applyItems(t.Routes, p.Set.Routes, p.Drop.Routes, func(r route) string { return r.Name })
	next.Services = applyItems(t.Services, p.Set.Services, p.Drop.Services, func(s pool) string { return s.Name })
	next.Accounts = applyItems(t.Accounts, p.Set.Accounts, p.Drop.Accounts, func(a account) string { return a.Name })
	if p.Set.Limits != nil {
		next.Limits = p.Set.Limits
	}
	return next
}

// applyItems replaces the items of old that are in set in their places, appends the other items of set and leaves out
// the items named in drop. An item that is both set and dropped is set.
func applyItems[T any](old, set []T, drop []string, name func(T) string) []T {
	pending := lo.KeyBy(set, name)
	dropped := lo.Keyify(drop)
	var out []T
	for _, item := range old {
		n := name(item)
		if next, ok := pending[n]; ok {
			out = append(out, next)
			delete(pending, n)
			continue
		}
		if _, ok := dropped[n]; !ok {
			out = append(out, item)
		}
	}
	for _, item := range set {
		if _, ok := pending[name(item)]; ok {
			out = append(out, item)
			delete(pending, name(item))
		}
	}
	return out
}

// TrafficRules returns the rules that put the table in force, or an error that names the first invalid item.
func (t Table) TrafficRules() (rule.TrafficRules, error) { return t.trafficRules(conversion{}) }

func (t Table) trafficRules(c conversion) (rule.TrafficRules, error) {
	var out rule.TrafficRules
	for _, p := range t.Services {
		if p.Name == "" {
			return out, errors.New("a service has no name")
		}
		if !c.inRange(time.Second, p.ColdPeriodSeconds) {
			return out, errors.Wrapf(errTimeRange, "service %q", p.Name)
		}
		out.Pools = append(out.Pools, rule.Pool{
			Name:           p.Name,
			HealthPath:     p.HealthPath,
			MaxConnections: p.MaxConnections,
			ColdPeriod:     c.fromNumber(p.ColdPeriodSeconds, time.Second),
			ColdRate:       p.ColdRate,
			UnknownFields:  p.unknownFields.encode(),
		})
	}
	for _, r := range t.Routes {
		converted, err := r.toRule(c)
		if err != nil {
			return out, errors.Wrapf(err, "route %q", r.Name)
		}
		out.Routes = append(out.Routes, converted)
	}
	for _, a := range t.Accounts {
		converted, err := a.toRule()
		if err != nil {
			return out, errors.Wrapf(err, "account %q", a.Name)
		}
		out.Accounts = append(out.Accounts, converted)
	}
	if l := t.Limits; l != nil {
		if !c.inRange(time.Millisecond, l.HeaderTimeoutMillis, l.IdleTimeoutMillis) {
			return out, errors.Wrap(errTimeRange, "limits")
		}
		out.CallerLimits = &rule.CallerLimits{
			MaxHeaderBytes: l.MaxHeaderBytes,
			MaxBodyBytes:   l.MaxBodyBytes,
			HeaderTimeout:  c.fromNumber(l.HeaderTimeoutMillis, time.Millisecond),
			IdleTimeout:    c.fromNumber(l.IdleTimeoutMillis, time.Millisecond),
			UnknownFields:  l.unknownFields.encode(),
		}
	}
	return out, nil
}

func (r route) toRule(c conversion) (rule.Route, error) {
	kind, ok := rule.ParseRequestKind(r.Kind)
	out := rule.Route{
		Name:             r.Name,
		Host:             r.Host,
		PathPrefix:       r.Path,
		Kind:             kind,
		Timeout:          c.fromNumber(r.TimeoutMillis, time.Millisecond),
		LatencyObjective: c.fromNumber(r.LatencyObjectiveMillis, time.Millisecond),
		Priority:         r.Priority,
		MaxTries:         r.MaxTries,
		Weighted:         len(r.Split) > 0,
		Access:           access(r.Open),
		UnknownFields:    r.unknownFields.encode(),
	}
	switch {
	case r.Name == "":
		return out, errors.New("no name")
	case !ok:
		return out, errors.Newf("kind %q is unknown", r.Kind)
	case r.TimeoutMillis <= 0:
		return out, errors.New("no timeout")
	case !c.inRange(time.Millisecond, r.TimeoutMillis, r.LatencyObjectiveMillis):
		return out, errTimeRange
	case out.Weighted == (r.Service != ""):
		return out, errors.New("want either a service or a split")
	}
	out.Services = lo.Map(r.Split, func(p part, _ int) rule.WeightedService { return rule.WeightedService(p) })
	if !out.Weighted {
		out.Services = []rule.WeightedService{{Service: r.Service, Weight: 1}}
	}
	return out, nil
}

func (a account) toRule() (rule.Account, error) {
	switch {
	case a.Name == "":
		return rule.Account{}, errors.New("no name")
	case slices.Contains(a.Keys, ""):
		return rule.Account{}, errors.New("a key is empty")
	case a.Rate < 0 || a.Burst < 0:
		return rule.Account{}, errors.New("quota and burst: want numbers from 0")
	}
	return rule.Account{
		Name:          a.Name,
		Keys:          a.Keys,
		Priority:      a.Priority,
		Rate:          a.Rate,
		Burst:         a.Burst,
		UnknownFields: a.unknownFields.encode(),
	}, nil
}
