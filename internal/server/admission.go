package server

import (
	"math"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
)

// logAdmission logs a notable change of the share of a class that this entry admits, and a
// request that was not admitted.
func (x *exchange) logAdmission(a entry.Admission) {
	if a.Changed {
		id := event.AdmittedShareFell
		if a.Admitted > a.Before {
			id = event.AdmittedShareRose
		}
		x.admissionLine(id, a).Float("before", thousandths(a.Before)).Send()
	}
	if a.Refused {
		x.admissionLine(event.CallNotAdmitted, a).Str("request", string(x.request.ID)).Send()
	}
}

// admissionLine begins a log line with the inputs of the decision.
func (x *exchange) admissionLine(id event.ID, a entry.Admission) *event.Line {
	age := int64(-1)
	if a.ReportAge >= 0 {
		age = a.ReportAge.Milliseconds()
	}
	return event.Log(x.caller.RequestLog, id).
		Str("service", string(x.target.Service.Name)).Str("class", string(x.target.Class.Name)).
		Float("admitted", thousandths(a.Admitted)).Float("served", thousandths(a.Served)).Int("age_ms", age)
}

// thousandths rounds a share for a log line.
func thousandths(share float64) float64 { return math.Round(share*1000) / 1000 }
