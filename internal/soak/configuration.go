package soak

import (
	"fmt"
	"slices"
	"strings"

	"gypsumstand/platform/names"
)

// keptVersions is how many configurations a route of generations stays in.
const keptVersions = 3

// Classes whose service changes with the version.
const (
	classMoved = "moved"
	classSplit = "split"
)

// part is one service that a route leads to.
type part struct {
	service string
	weight  int
}

func generation(k int) string { return fmt.Sprintf("gen-%d", k) }

// partsOf returns where a version routes a class; empty when it has no such route. A
// generation's route is in keptVersions versions from its own on.
func partsOf(version int, class string) []part {
	switch class {
	case "order":
		return []part{{serviceOrders, 0}}
	case "browse":
		return []part{{serviceCatalogue, 0}}
	case classMoved:
		return [][]part{{{serviceOrders, 0}}, {{serviceCatalogue, 0}}}[version%2]
	case classSplit:
		return [][]part{
			{{serviceCatalogue, 100}, {serviceOrders, 0}},
			{{serviceCatalogue, 50}, {serviceOrders, 50}},
			{{serviceOrders, 100}, {serviceCatalogue, 0}},
		}[version%3]
	}
	var k int
	if _, err := fmt.Sscanf(class, "gen-%d", &k); err != nil || version < k || version >= k+keptVersions {
		return nil
	}
	return []part{{serviceCatalogue, 0}}
}

// allows tells whether a version lets a service run requests of a class.
func allows(version int, class, service string) bool {
	return slices.ContainsFunc(partsOf(version, class), func(p part) bool {
		return p.service == service && (p.weight > 0 || len(partsOf(version, class)) == 1)
	})
}

// configuration returns the text of a version; cold says that workers bear little after their
// start.
func configuration(version int, cold bool) string {
	classes := []string{"order", "browse", classMoved, classSplit}
	for k := max(1, version-keptVersions+1); k <= version; k++ {
		classes = append(classes, generation(k))
	}
	routes := make([]string, len(classes))
	for i, class := range classes {
		routes[i] = routeText(class, partsOf(version, class))
	}
	var services []string
	bears := ""
	if cold {
		bears = fmt.Sprintf(`,"cold_start_s":%g,"cold_per_s":%d`, coldAfterStart.Seconds(), coldPerS)
	}
	for _, name := range []string{serviceOrders, serviceCatalogue, serviceArchive} {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":200%s}`, name, bears))
	}
	return fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[%s],`+
			`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":5000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

func routeText(class string, parts []part) string {
	kind := names.KindIdempotent
	if class == "order" {
		kind = names.KindNotIdempotent
	}
	leads := fmt.Sprintf(`"service":%q`, parts[0].service)
	if len(parts) > 1 {
		var texts []string
		for _, p := range parts {
			texts = append(texts, fmt.Sprintf(`{"service":%q,"weight":%d}`, p.service, p.weight))
		}
		leads = fmt.Sprintf(`%q:[%s]`, names.TrafficSplitField, strings.Join(texts, ","))
	}
	return fmt.Sprintf(`{"name":%q,"host":"shop.example","prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":400,"priority":1,"max_attempts":3,%s}`,
		class, class, kind, routeTimeout.Milliseconds(), leads)
}
