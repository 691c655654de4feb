package event

import "github.com/rs/zerolog"

// Events of the worker beside the node.
var (
	WorkerState = define(510, zerolog.InfoLevel, "worker changed its life stage",
		"Polls of the worker or real traffic showed that it became cold, live or leaving.",
		"When a worker often turns cold: look at the worker and its host. Leaving is final until the node restarts.")
	WorkerBreaks = define(511, zerolog.WarnLevel, "worker breaks every attempt",
		"Several attempts in a row broke off at this node's worker or came back spoilt. What comes is refused as not run, but for a trial a few times a second.",
		"Look at the worker: its health path may say well all the while.")
	WorkerAnswers = define(512, zerolog.InfoLevel, "worker answers again",
		"An attempt was answered after the worker had broken several in a row; everything is admitted again.", "none")
)
