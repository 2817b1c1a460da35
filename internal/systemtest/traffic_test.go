package systemtest

import (
	"bytes"
	"github.com/greengagewing/greengagewing/internal/memnet"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// trafficWindow is a multiple of the intervals of all periodic calls.
const trafficWindow = 30 * time.Second

// expectedIdleCalls are the periodic calls of an idle daemon in the window, by kind. Other kinds have none.
func expectedIdleCalls(daemons int) map[string]int {
	seconds := int(trafficWindow / time.Second)
	return map[string]int{
		"peer/v1/heartbeat": seconds * (daemons - 1),
		"scan session":      seconds,
		"scan partition":    seconds / 5,
		"v1/commit":         seconds, // of the session
		"v1/hosts":          seconds,
		"v1/rows":           seconds * 2, // the heads of both lists
	}
}

// trafficMeter counts the bytes of the daemons' control traffic by kind of call, TCP and IP not counted.
type trafficMeter struct {
	mu       sync.Mutex
	lastKind map[*memnet.Conn]string // kind of the last call on a connection
	bytes    map[string]int
	calls    map[string]int
}

// countMessage adds a message to the kind of the call that it belongs to.
func (m *trafficMeter) countMessage(c *memnet.Conn, message []byte) {
	if !strings.HasPrefix(c.From, "daemon-") {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	line, _, isHTTP := bytes.Cut(message, []byte(" HTTP/1.1\r\n"))
	if _, target, isRequest := bytes.Cut(line, []byte(" /")); isHTTP && isRequest {
		m.lastKind[c] = callKind(string(target))
		m.calls[m.lastKind[c]]++
	}
	m.bytes[m.lastKind[c]] += len(message)
}

// callKind names a call by its path, and a scan by its prefix.
func callKind(target string) string {
	path, query, _ := strings.Cut(target, "?")
	switch _, prefix, _ := strings.Cut(query, "prefix="); {
	case path == "v1/scan":
		prefix, _, _ = strings.Cut(prefix, "%2F")
		return "scan " + prefix
	case path == "v1/commit", path == "v1/rows", path == "v1/hosts", strings.HasPrefix(path, "peer/"):
		return path
	}
	return "" // to a worker or minion
}

// TestIdleTraffic guards against idle daemons that call each other or the platform more often than the intervals of the
// design ask for. It prints what the calls carry: bytes count at both ends of a call between two daemons. Control traffic
// with workers and minions is not included.
func TestIdleTraffic(t *testing.T) {
	t.Parallel()
	const daemons = 8
	runScenario(t, 17, daemons, func(s *system) {
		m := &trafficMeter{lastKind: map[*memnet.Conn]string{}, bytes: map[string]int{}, calls: map[string]int{}}
		s.net.Watch(m.countMessage)
		time.Sleep(trafficWindow)
		m.mu.Lock()
		defer m.mu.Unlock()
		want, total := expectedIdleCalls(daemons), 0.0
		for _, kind := range slices.Sorted(maps.Keys(m.bytes)) {
			ends := 1.0
			if strings.HasPrefix(kind, "peer/") {
				ends = 2
			}
			perSecond := ends * float64(m.bytes[kind]) / daemons / trafficWindow.Seconds()
			t.Logf("%-24s %6.0f B/s", kind, perSecond)
			if kind == "" {
				continue
			}
			total += perSecond
			// The calls of one interval may fall on either side of the window's ends.
			slack := max(1, want[kind]/int(trafficWindow/time.Second))
			if got := m.calls[kind]; got > daemons*(want[kind]+slack) {
				t.Errorf("%d calls of kind %s by %d daemons in %v, want %d each", got, kind, daemons, trafficWindow, want[kind])
			}
		}
		t.Logf("%-24s %6.0f B/s", "control traffic", total)
	})
}
