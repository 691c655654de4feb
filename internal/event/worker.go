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
	WorkerReplaced = define(513, zerolog.WarnLevel, "worker is another than the listed one",
		"This node's worker says that it is another than the directory lists, so the listed one is gone. Nothing is sent to it until the directory lists it. The subject is the worker's word, the detail the one listed.",
		"When it lasts, look after the directory: it does not list the new worker.")
	WorkerEnded = define(514, zerolog.WarnLevel, "worker ended with requests in hand",
		"This node's worker ended, not as planned, and requests broke with it. The subject names the end, the detail the requests that were in hand: the fingerprint of each, which all sendings of the same request share, and what it asked for. One end may have several lines.",
		"Look for a fingerprint that stands in the lines of several ends, also of other nodes: that request may be why.")
)
