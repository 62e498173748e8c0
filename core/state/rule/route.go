package rule

import (
	"cmp"
	"slices"
	"strings"
)

// route leads from a host and path prefix to a service.
type route struct {
	host, path, service string
}

// routes lists the routes of services, the most specific first: a named host before any host, then the longer path.
func routes(services map[string]Service) []route {
	list := make([]route, 0, len(services))
	for name, s := range services {
		list = append(list, route{host: s.Host, path: cmp.Or(s.PathPrefix, "/"), service: name})
	}
	slices.SortFunc(list, func(a, b route) int {
		return cmp.Or(
			-cmp.Compare(min(len(a.host), 1), min(len(b.host), 1)),
			-cmp.Compare(len(a.path), len(b.path)),
			cmp.Compare(a.service, b.service),
		)
	})
	return list
}

// ServiceFor returns the service for the Host header and path of a request.
func (s *Set) ServiceFor(host, path string) (Service, bool) {
	host, path = bareHost(host), barePath(path)
	list := s.routes
	if list == nil {
		list = routes(s.Services)
	}
	for _, r := range list {
		if (r.host == "" || r.host == host) && under(path, r.path) {
			return s.Service(r.service)
		}
	}
	return Service{}, false
}

// Service returns a service with the defaults in place of limits that the rules do not set.
func (s *Set) Service(service string) (Service, bool) {
	one, ok := s.Services[service]
	if ok && !one.full {
		one = one.defaults(nil)
	}
	return one, ok
}

// Idempotent reports whether a request may run more than once; requests to unknown services may not.
func (s *Set) Idempotent(service, method, path string) bool {
	one, ok := s.Services[service]
	path = barePath(path)
	if !ok || !plain(path) {
		return false
	}
	methods := []string{"GET", "HEAD", "OPTIONS"}
	longest := -1
	for _, m := range one.IdempotentRequests {
		if len(m.PathPrefix) > longest && under(path, m.PathPrefix) {
			longest, methods = len(m.PathPrefix), m.Methods
		}
	}
	return slices.Contains(methods, method)
}

// Priority returns the level of a request; Normal unless a rule says otherwise.
func (s *Set) Priority(service, path string) Priority {
	path = barePath(path)
	level, longest := PriorityNormal, -1
	for _, p := range s.Services[service].Priorities {
		if len(p.PathPrefix) > longest && under(path, p.PathPrefix) {
			longest, level = len(p.PathPrefix), p.Priority
		}
	}
	return level
}

// ZoneOut reports whether the rules take a zone out of service; zones that they do not list are in service.
func (s *Set) ZoneOut(zone string) bool {
	return s.Zones[zone].Out || slices.Contains(s.EvacuatedZones, zone)
}

// BackendOut reports whether the rules take a back end out of service.
func (s *Set) BackendOut(name string) bool {
	return s.BackendsOut[name]
}

// under reports whether path is prefix or lies below it; /free covers /free/now but not /freeze.
func under(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// plain reports whether path means the same to every program that resolves dots and repeated slashes.
// A path such as /free/../reserve must not be taken for one below /free.
func plain(path string) bool {
	if strings.Contains(path, "//") || strings.ContainsRune(path, '\\') || strings.Contains(strings.ToLower(path), "%2e") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

func barePath(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// bareHost returns the host in lower case without port and final dot.
func bareHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
