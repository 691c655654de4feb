package load

import (
	"fmt"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/tomlfile"
)

// ParsePlan reads a plan from TOML and fills in defaults. file names the text in
// findings. The overrides, such as command-line flags, take precedence over the file and
// are applied before the plan is checked. The error is a finding.List with every fault
// and its place.
func ParsePlan(file string, data []byte, overrides ...func(*Plan)) (Plan, error) {
	p := NewPlan()
	doc := tomlfile.Decode(file, data, &p)
	for _, o := range overrides {
		o(&p)
	}
	p.fillDefaults()
	if doc.HasSyntaxError() {
		return Plan{}, doc.Err()
	}
	p.check(func(key, format string, args ...any) {
		if !doc.RejectedWithin(key) {
			doc.Add(key, format, args...)
		}
	})
	if err := doc.Err(); err != nil {
		return Plan{}, err
	}
	return p, nil
}

// CheckPlan fills in the defaults of a plan that was not read from a file and checks it.
// The error is a finding.List with every fault.
func CheckPlan(p Plan) (Plan, error) {
	p.Streams = append([]Stream(nil), p.Streams...)
	p.Steps = append([]Step(nil), p.Steps...)
	p.fillDefaults()
	var findings finding.List
	p.check(func(key, format string, args ...any) {
		findings.Add(finding.Finding{Key: key, Message: fmt.Sprintf(format, args...)})
	})
	return p, findings.Err()
}
