package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"go.uber.org/zap/zapcore"
)

// blockingWriter blocks all writes until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.unblock
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// TestWriterNeverBlocks guards against a daemon that blocks because nobody reads its log, and against dropping lines
// without logging that.
func TestWriterNeverBlocks(t *testing.T) {
	g := &blockingWriter{unblock: make(chan struct{})}
	w := NewWriter(g)
	log := New(w, zapcore.InfoLevel)
	const lines = 3 * bufferedLines
	for range lines {
		log.Info("line")
	}
	close(g.unblock)
	w.Close()
	out := g.buf.String()
	written := strings.Count(out, `"msg":"line"`)
	if written < bufferedLines || written >= lines {
		t.Errorf("%d of %d lines were written through a buffer of %d", written, lines, bufferedLines)
	}
	if !strings.Contains(out, "log lines dropped") {
		t.Error("no line reports that lines were dropped")
	}
}

// TestErrorField guards against stack traces in the log, which multiply its volume, and against an error field for a nil
// error.
func TestErrorField(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	log := New(w, zapcore.InfoLevel)
	log.Info("with", Error(errors.Wrap(errors.New("inner"), "outer")))
	log.Info("without", Error(nil))
	w.Close()
	out := buf.String()
	if !strings.Contains(out, `"error":"outer: inner"`) || strings.Contains(out, ".go:") {
		t.Errorf("want the error's message without a stack trace, got %s", out)
	}
	if strings.Count(out, `"error"`) != 1 {
		t.Errorf("want no error field for a nil error, got %s", out)
	}
}
