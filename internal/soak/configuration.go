package soak

import (
	"fmt"
	"slices"
	"strings"

	"gypsumstand/platform/names"
)

// generationVersions is the number of consecutive configurations that contain a
// generation's route.
const generationVersions = 3

// Classes whose service changes from version to version.
const (
	classMoved = "moved"
	classSplit = "split"
)

// destination is one service that a route leads to, with its weight in a traffic split.
type destination struct {
	service string
	weight  int
}

func generationClass(k int) string { return fmt.Sprintf("gen-%d", k) }

// destinationsOf returns the services to which a version routes a class, or none if it
// has no such route. A generation's route exists in generationVersions versions, starting
// with the one of the same number.
func destinationsOf(version int, class string) []destination {
	switch class {
	case "order":
		return []destination{{serviceOrders, 0}}
	case "browse":
		return []destination{{serviceCatalogue, 0}}
	case classUpload, classLookup:
		return []destination{{serviceOrders, 0}}
	case classBoard:
		return []destination{{serviceCatalogue, 0}}
	case classMoved:
		return [][]destination{{{serviceOrders, 0}}, {{serviceCatalogue, 0}}}[version%2]
	case classSplit:
		return [][]destination{
			{{serviceCatalogue, 100}, {serviceOrders, 0}},
			{{serviceCatalogue, 50}, {serviceOrders, 50}},
			{{serviceOrders, 100}, {serviceCatalogue, 0}},
		}[version%3]
	}
	var k int
	if _, err := fmt.Sscanf(class, "gen-%d", &k); err != nil || version < k || version >= k+generationVersions {
		return nil
	}
	return []destination{{serviceCatalogue, 0}}
}

// allowsRun reports whether a version lets a service run requests of a class.
func allowsRun(version int, class, service string) bool {
	return slices.ContainsFunc(destinationsOf(version, class), func(d destination) bool {
		return d.service == service && (d.weight > 0 || len(destinationsOf(version, class)) == 1)
	})
}

// configuration returns the text of a version, with routes that nobody requests added; cold
// limits the request rate of workers after their start, and hard adds the routes of PlanHard.
func configuration(version int, cold bool, added int, hard bool) string {
	classes := []string{"order", "browse", classMoved, classSplit}
	if hard {
		classes = append(classes, hardClasses...)
	}
	for k := max(1, version-generationVersions+1); k <= version; k++ {
		classes = append(classes, generationClass(k))
	}
	routes := make([]string, 0, len(classes)+added)
	for i := range added {
		routes = append(routes, routeText(fmt.Sprintf("added-%d", i), 1, []destination{{serviceOrders, 0}}))
	}
	for _, class := range classes {
		priority, ok := hardPriorities[class]
		if !hard || !ok {
			priority = 1
		}
		routes = append(routes, routeText(class, priority, destinationsOf(version, class)))
	}
	var services []string
	coldFields := ""
	if cold {
		coldFields = fmt.Sprintf(`,"cold_start_s":%g,"cold_per_s":%d`, coldDuration.Seconds(), coldRequestsPerS)
	}
	for _, name := range []string{serviceOrders, serviceCatalogue, serviceArchive} {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":200%s}`, name, coldFields))
	}
	return fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[%s],`+
			`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":5000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

func routeText(class string, priority int, destinations []destination) string {
	destinationField := fmt.Sprintf(`"service":%q`, destinations[0].service)
	if len(destinations) > 1 {
		var texts []string
		for _, d := range destinations {
			texts = append(texts, fmt.Sprintf(`{"service":%q,"weight":%d}`, d.service, d.weight))
		}
		destinationField = fmt.Sprintf(`%q:[%s]`, names.TrafficSplitField, strings.Join(texts, ","))
	}
	return fmt.Sprintf(`{"name":%q,"host":"shop.example","prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":400,"priority":%d,"max_attempts":3,%s}`,
		class, class, kindOf(class), routeTimeout.Milliseconds(), priority, destinationField)
}
