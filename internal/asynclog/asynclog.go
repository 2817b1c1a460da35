// Package asynclog builds a structured logger whose writes never block the caller. When its bounded buffer is full, it drops
// and counts lines, and logs the count once there is room again.
package asynclog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferedLines limits the lines that wait while the output is slow. It holds a few seconds of a busy owner's log, about
// 1 MB.
const bufferedLines = 4096

// maxBatchBytes limits the size of a batch: no further line is added to a batch that has reached it.
const maxBatchBytes = 32 << 10

// Writer buffers lines and writes them in a goroutine of its own. It implements zapcore.WriteSyncer.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the writer's own goroutine writes the lines.
func (w *Writer) Sync() error { return nil }

// Close waits until the buffered lines have been written. Write must not be called afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) writeLoop() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case next, ok := <-w.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = append(batch, `{"level":"warn","msg":"log lines dropped","lines":`+strconv.FormatInt(n, 10)+"}\n"...)
		}
		// Ignore the error: a failure to write the log can't be reported anywhere else.
		_, _ = w.out.Write(batch)
	}
}

// New returns a logger that writes JSON lines of the given level and above to w.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}

// Error returns a log field with the message of err, without its stack trace, which would multiply the volume of the log. It
// returns no field if err is nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
