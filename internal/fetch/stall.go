package fetch

import (
	"context"
	"errors"
	"io"
	"time"
)

// stallTime is how long nothing of a response may arrive that may take long.
const stallTime = time.Second

// ErrStalled is the cause of a context that was cancelled because nothing arrived.
var ErrStalled = errors.New("transfer stalled")

// Progress watches the progress of one transfer. Stop must be called at its end.
type Progress struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// CancelOnStall returns a context that is cancelled when the returned Progress sees nothing
// arrive for stallTime, the time until the first bytes included.
func CancelOnStall(ctx context.Context) (context.Context, *Progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(stallTime, func() { cancel(ErrStalled) })
	return ctx, &Progress{timer: timer, cancel: cancel}
}

// Stop releases the resources of p and cancels its context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// Reader returns r with each read counted as progress; it returns r itself if p is nil.
func (p *Progress) Reader(r io.Reader) io.Reader {
	if p == nil {
		return r
	}
	return &progressReader{r, p}
}

type progressReader struct {
	io.Reader
	progress *Progress
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress.timer.Reset(stallTime)
	}
	return n, err
}
