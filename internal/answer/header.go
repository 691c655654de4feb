package answer

// Headers between a node and its worker and between callers and nodes, as far
// as the stand-ins and the load generator need them. Source: docs/DESIGN.md,
// "Headers".
const (
	// HeaderRequestID carries the request's id.
	HeaderRequestID = "Idempotency-Key"
	// HeaderTimeout carries the remaining time in whole milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderTenant carries the tenant's name.
	HeaderTenant = "Gypsum-Tenant"
	// HeaderIdempotent is "false" when a request must run at most once.
	HeaderIdempotent = "Gypsum-Idempotent"
	// HeaderRetryBudget carries the number of extra attempts left to the path.
	HeaderRetryBudget = "Gypsum-Retry-Budget"
	// HeaderAttempt carries the attempt id; a worker echoes it.
	HeaderAttempt = "Gypsum-Attempt"
	// HeaderNotRun is "true" when whoever answers says that it did not run the
	// request.
	HeaderNotRun = "Gypsum-Not-Run"
	// HeaderOutcome carries a model.Outcome to the caller.
	HeaderOutcome = "Gypsum-Outcome"
	// HeaderReason carries a model.Reason to the caller.
	HeaderReason = "Gypsum-Reason"
)
