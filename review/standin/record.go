package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

// Line adds a line with the time since the record began.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
