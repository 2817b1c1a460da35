// Package asynclog builds a structured logger whose writes never block the caller. Lines beyond a bounded buffer are
// dropped and counted, and the count is logged once there is room again.
package asynclog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferedLines bounds the lines that wait for a slow reader: a few seconds of a busy owner's log, about 1 MB.
const bufferedLines = 4096

// maxBatchBytes bounds the lines that are written by one system call.
const maxBatchBytes = 32 << 10

// Writer writes lines in its own goroutine. It implements zapcore.WriteSyncer.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter starts a writer to out.
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

// Sync implements zapcore.WriteSyncer; lines are written by the writer's own goroutine.
func (w *Writer) Sync() error { return nil }

// Close writes what is buffered. No line may be written afterwards.
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
		// A log that can't be written has no other place to be reported.
		_, _ = w.out.Write(batch)
	}
}

// New returns a logger of JSON lines from the level on.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}

// Error is the field of an error: its message without the stack, which would multiply the volume. There is none for nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
