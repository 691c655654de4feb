package event

import "github.com/rs/zerolog"

// Events of the admission of requests by the outcomes of their class.
var (
	AdmittedShareFell = define(422, zerolog.WarnLevel, "admitted share of a class fell",
		"Owners refuse a notable share of a class's requests for load, or their runs fail because calls are refused, so this entry node admits fewer of them: the share admitted before and now, the share that owners served, and the age of the latest report in milliseconds (-1: no report).",
		"Look which service lacks slots: this one, if its owners refuse (event 521), otherwise those that its workers call.")
	AdmittedShareRose = define(423, zerolog.InfoLevel, "admitted share of a class recovered",
		"This entry node admits more of a class's requests again, or all of them (1), with the inputs of event 422.", "none")
	CallNotAdmitted = define(424, zerolog.InfoLevel, "request not admitted",
		"An entry node refused a request before any owner was asked, as most of its class are not served: its id, the share admitted, the share that owners served, and the age of the latest report in milliseconds. No part of it ran.",
		"As for event 422.")
)
