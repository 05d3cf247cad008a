package configcheck

import (
	"fmt"
	"net/netip"
	"time"

	"pimentospread"
)

func (c *checker) checkVersion() {
	if c.configuration.Version == 0 {
		c.add(MissingVersion, "Version", "is missing or zero")
	}
	c.checkTime("IdleTimeout", c.configuration.IdleTimeout)
}

func (c *checker) checkTime(path string, d time.Duration) {
	if d < 0 {
		c.add(NegativeTime, path, "is %s, must not be negative", d)
	}
}

// checkRoutes checks the fields of each route by themselves, and names and addresses that
// two routes share.
func (c *checker) checkRoutes() {
	if len(c.configuration.Routes) == 0 {
		c.add(NoRoutes, "Routes", "is empty, so every new flow is reset")
	}
	names := map[pimentospread.RouteName]int{}
	for i, r := range c.configuration.Routes {
		path := routePath(i)
		first, duplicate := names[r.Name]
		switch {
		case r.Name == "":
			c.add(MissingName, path+".Name", "is missing")
		case duplicate:
			c.add(DuplicateRouteName, path+".Name", "%q is the name of %s already", r.Name, routePath(first))
		default:
			names[r.Name] = i
		}
		c.checkTime(path+".Timeout", r.Timeout)
		c.checkTime(path+".Latency", r.Latency)
		c.checkWeights(path, r.Services)
	}
	c.checkShadowed()
}

// checkShadowed reports all but the last route of each address.
func (c *checker) checkShadowed() {
	last := map[netip.AddrPort]int{}
	for i, r := range c.configuration.Routes {
		last[r.Address] = i
	}
	for i, r := range c.configuration.Routes {
		if l := last[r.Address]; r.Address.IsValid() && l != i {
			c.add(ShadowedRoute, routePath(i)+".Address", "%s is the address of %s %q too, and only the last such route counts",
				r.Address, routePath(l), c.configuration.Routes[l].Name)
		}
	}
}

// checkWeights reports services that get no flows. If all weights are zero, hosts send all
// flows to the first service.
func (c *checker) checkWeights(path string, services []pimentospread.WeightedService) {
	total := uint64(0)
	for j, s := range services {
		total += uint64(s.Weight)
		if s.Service == "" {
			c.add(MissingService, weightPath(path, j)+".Service", "is missing")
		}
	}
	if total == 0 && len(services) > 0 {
		c.add(ZeroWeight, path+".Services", "all weights are zero, so the first service %q gets all flows", services[0].Service)
		return
	}
	for j, s := range services {
		if s.Weight == 0 {
			c.add(ZeroWeight, weightPath(path, j)+".Weight", "is zero, so service %q gets no flows of this route", s.Service)
		}
	}
}

func (c *checker) checkServices() {
	names := map[pimentospread.ServiceName]int{}
	for i, s := range c.configuration.Services {
		path := servicePath(i)
		first, duplicate := names[s.Name]
		switch {
		case s.Name == "":
			c.add(MissingName, path+".Name", "is missing")
		case duplicate:
			c.add(DuplicateServiceName, path+".Name", "%q is the name of %s already", s.Name, servicePath(first))
		default:
			names[s.Name] = i
		}
		c.checkTime(path+".Warmup", s.Warmup)
		if s.WarmupRate < 0 {
			c.add(OutOfRange, path+".WarmupRate", "is %g, must not be negative", s.WarmupRate)
		}
	}
}

// checkUse reports services that no route uses, and routes to services that are not listed.
func (c *checker) checkUse() {
	listed, used := map[pimentospread.ServiceName]bool{}, map[pimentospread.ServiceName]bool{}
	for _, s := range c.configuration.Services {
		listed[s.Name] = true
	}
	for i, r := range c.configuration.Routes {
		for j, s := range r.Services {
			used[s.Service] = true
			if s.Service != "" && !listed[s.Service] {
				c.add(UnlistedService, weightPath(routePath(i), j)+".Service", "service %q is not listed, so it has no limits", s.Service)
			}
		}
	}
	for i, s := range c.configuration.Services {
		if s.Name != "" && !used[s.Name] {
			c.add(UnusedService, servicePath(i)+".Name", "no route uses service %q", s.Name)
		}
	}
}

// checkTargets reports services that have no target for new flows. Each service is reported
// once, where it is listed or else where it is used first.
func (c *checker) checkTargets() {
	if c.Targets == nil {
		c.omit("Targets of services", "no targets were given")
		return
	}
	if c.Targets.Incomplete {
		c.omit("Targets of services", "the list of targets is incomplete, so missing targets are not reported")
	}
	for _, name := range c.Targets.Unreadable {
		c.omit(fmt.Sprintf("Target %q", name), "its registration cannot be decoded")
	}
	if c.Targets.Incomplete {
		return
	}
	seen := map[pimentospread.ServiceName]bool{}
	check := func(path string, name pimentospread.ServiceName) {
		if !seen[name] && name != "" {
			c.checkTargetsOf(path, name)
		}
		seen[name] = true
	}
	for i, s := range c.configuration.Services {
		check(servicePath(i)+".Name", s.Name)
	}
	for i, r := range c.configuration.Routes {
		for j, s := range r.Services {
			check(weightPath(routePath(i), j)+".Service", s.Service)
		}
	}
}

func (c *checker) checkTargetsOf(path string, name pimentospread.ServiceName) {
	targets := c.supply[name]
	switch targets.registered {
	case 0:
		c.add(NoTargets, path, "service %q has no registered targets", name)
	case targets.draining:
		c.add(NoTargets, path, "service %q has no target for new flows, because all %d registered targets are draining", name, targets.registered)
	}
}

func routePath(i int) string { return fmt.Sprintf("Routes[%d]", i) }

func servicePath(i int) string { return fmt.Sprintf("Services[%d]", i) }

func weightPath(route string, j int) string { return fmt.Sprintf("%s.Services[%d]", route, j) }
