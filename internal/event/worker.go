package event

import "github.com/rs/zerolog"

// Events of the worker beside the node.
var (
	WorkerState = define(510, zerolog.InfoLevel, "worker changed its life stage",
		"Polls of the worker or real traffic showed that it became cold, live or leaving.",
		"When a worker often turns cold: look at the worker and its host. Leaving is final until the node restarts.")
)
