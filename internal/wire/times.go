package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderTimes reports to an entry node how an attempt's time was spent at its owner.
const HeaderTimes = "Gypsum-Times"

// AttemptTimes is how the time of an attempt with a response was spent at its owner.
type AttemptTimes struct {
	// Queued is the time in the owner's queue.
	Queued time.Duration
	// Worker is the time from the start until the worker's response header arrived.
	Worker time.Duration
}

// SetTimes writes t as "queued worker", in whole microseconds.
func SetTimes(h http.Header, t AttemptTimes) {
	queued := strconv.FormatInt(t.Queued.Microseconds(), 10)
	worker := strconv.FormatInt(t.Worker.Microseconds(), 10)
	h.Set(HeaderTimes, queued+" "+worker)
}

// ReadTimes reverses SetTimes. Unreadable values become zero, since they serve
// measurements only.
func ReadTimes(h http.Header) AttemptTimes {
	queued, worker, _ := strings.Cut(h.Get(HeaderTimes), " ")
	return AttemptTimes{Queued: microseconds(queued), Worker: microseconds(worker)}
}

func microseconds(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}
