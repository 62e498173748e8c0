package rule

import (
	"cmp"
	"slices"
	"strings"
)

// serviceRoute sends the requests for a host and path prefix to a service.
type serviceRoute struct {
	host, pathPrefix, service string
}

// sortedServiceRoutes returns the routes of services, the most specific first: a route with a host before one without,
// then the longer path prefix first.
func sortedServiceRoutes(services map[string]Service) []serviceRoute {
	list := make([]serviceRoute, 0, len(services))
	for name, s := range services {
		list = append(list, serviceRoute{host: s.Host, pathPrefix: cmp.Or(s.PathPrefix, "/"), service: name})
	}
	slices.SortFunc(list, func(a, b serviceRoute) int {
		return cmp.Or(
			-cmp.Compare(min(len(a.host), 1), min(len(b.host), 1)),
			-cmp.Compare(len(a.pathPrefix), len(b.pathPrefix)),
			cmp.Compare(a.service, b.service),
		)
	})
	return list
}

// HasRoutes reports whether the rules send any request anywhere. Before the first table they may hold nothing but orders about zones.
func (s *Set) HasRoutes() bool {
	return len(s.Routes) > 0 || len(s.Services) > 0
}

// ServiceFor returns the service for the Host header and the request target of a request, or false if no service matches.
func (s *Set) ServiceFor(host, path string) (Service, bool) {
	host, path = normalizeHost(host), withoutQuery(path)
	list := s.serviceRoutes
	if list == nil {
		list = sortedServiceRoutes(s.Services)
	}
	for _, r := range list {
		if (r.host == "" || r.host == host) && hasPathPrefix(path, r.pathPrefix) {
			return s.Service(r.service)
		}
	}
	return Service{}, false
}

// Service returns a service by name, with defaults for the limits that the rules do not set, or false if it is unknown.
func (s *Set) Service(name string) (Service, bool) {
	service, ok := s.Services[name]
	if ok && !service.defaultsApplied {
		service = service.withDefaults(nil)
	}
	return service, ok
}

// Idempotent reports whether a request to a service may run more than once. The rule with the longest matching path
// prefix decides, and without one the method does; requests to unknown services may run only once.
func (s *Set) Idempotent(serviceName, method, path string) bool {
	service, ok := s.Services[serviceName]
	path = withoutQuery(path)
	if !ok || !isCanonicalPath(path) {
		return false
	}
	methods := []string{"GET", "HEAD", "OPTIONS"}
	longest := -1
	for _, m := range service.IdempotentRequests {
		if len(m.PathPrefix) > longest && hasPathPrefix(path, m.PathPrefix) {
			longest, methods = len(m.PathPrefix), m.Methods
		}
	}
	return slices.Contains(methods, method)
}

// Priority returns the priority of a request to a service: that of the rule with the longest matching path prefix, or
// PriorityNormal without one.
func (s *Set) Priority(service, path string) Priority {
	path = withoutQuery(path)
	priority, longest := PriorityNormal, -1
	for _, p := range s.Services[service].Priorities {
		if len(p.PathPrefix) > longest && hasPathPrefix(path, p.PathPrefix) {
			longest, priority = len(p.PathPrefix), p.Priority
		}
	}
	return priority
}

// ZoneOut reports whether the rules take a zone out of service; a zone that no rule names is in service.
func (s *Set) ZoneOut(zone string) bool {
	return s.Zones[zone].Out || slices.Contains(s.EvacuatedZones, zone)
}

// BackendOut reports whether the rules take a back end out of service, by the name of the back end.
func (s *Set) BackendOut(name string) bool {
	return s.BackendsOut[name]
}

// hasPathPrefix reports whether path equals prefix or lies below it: /free covers /free/now but not /freeze.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// isCanonicalPath reports whether path has nothing that back ends may resolve to another path: dot segments, repeated
// slashes and backslashes. A path such as /free/../reserve must not pass for one below /free.
func isCanonicalPath(path string) bool {
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

func withoutQuery(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// normalizeHost returns the host of a Host header in lower case, without port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
