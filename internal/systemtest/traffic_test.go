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

// trafficWindow is the length of the measurement, a multiple of the intervals of all periodic calls.
const trafficWindow = 30 * time.Second

// expectedIdleCalls returns the number of periodic calls by kind that an idle daemon makes in trafficWindow. Calls of
// other kinds are not expected.
func expectedIdleCalls(daemons int) map[string]int {
	seconds := int(trafficWindow / time.Second)
	return map[string]int{
		"peer/v1/heartbeat": seconds * (daemons - 1),
		"scan session":      seconds,
		"scan partition":    seconds / 5,
		"v1/commit":         seconds, // renews the session
		"v1/hosts":          seconds,
		"v1/rows":           seconds * 2, // reads the heads of both lists
	}
}

// trafficMeter counts the calls and bytes of the daemons' control traffic by kind of call, without TCP and IP headers.
type trafficMeter struct {
	mu       sync.Mutex
	lastKind map[*memnet.Conn]string // kind of the latest call on a connection
	bytes    map[string]int
	calls    map[string]int
}

// countMessage adds a message to the counters of the call that it belongs to. A message that is not the start of a
// request belongs to the latest call on its connection.
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

// callKind returns the kind of a call: its path, or "scan" and the prefix for a scan. Calls to minions and workers have
// an empty kind.
func callKind(target string) string {
	path, query, _ := strings.Cut(target, "?")
	switch _, prefix, _ := strings.Cut(query, "prefix="); {
	case path == "v1/scan":
		prefix, _, _ = strings.Cut(prefix, "%2F")
		return "scan " + prefix
	case path == "v1/commit", path == "v1/rows", path == "v1/hosts", strings.HasPrefix(path, "peer/"):
		return path
	}
	return "" // a call to a worker or minion
}

// TestIdleTraffic guards against idle daemons that call each other or the platform more often than the periodic
// intervals of the design require. It also logs the bytes per second of each kind of call; bytes of a call between two
// daemons count at both ends. The total excludes control traffic with workers and minions.
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
			// The calls of one interval may fall just inside or just outside the window.
			slack := max(1, want[kind]/int(trafficWindow/time.Second))
			if got := m.calls[kind]; got > daemons*(want[kind]+slack) {
				t.Errorf("%d calls of kind %s by %d daemons in %v, want %d each", got, kind, daemons, trafficWindow, want[kind])
			}
		}
		t.Logf("%-24s %6.0f B/s", "control traffic", total)
	})
}
