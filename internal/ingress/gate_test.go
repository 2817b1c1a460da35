package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const testBodyLimit = 256 << 10

// testServer answers POST requests with the length of their bodies and does not read the bodies of others.
type testServer struct {
	gate *Gate
	addr string
}

func newTestServer(t *testing.T, l Limits) *testServer {
	t.Helper()
	g := New(l, tally.NoopScope, zap.NewNop())
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(serveLength), ReadHeaderTimeout: time.Minute}
	guarded := g.Guard(Callers, s, tcp)
	go func() { _ = s.Serve(guarded) }()
	t.Cleanup(func() { _ = s.Close() })
	return &testServer{g, tcp.Addr().String()}
}

func serveLength(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	body, err := ReadBody(r, testBodyLimit)
	if err != nil {
		w.WriteHeader(Status(err))
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// begin sends a request with the begin of its body.
func (s *testServer) begin(t *testing.T, header, body string) net.Conn {
	t.Helper()
	c := s.dial(t)
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", header, body); err != nil {
		t.Fatal(err)
	}
	return c
}

// until waits until the condition holds.
func until(condition func() bool) {
	for deadline := time.Now().Add(time.Minute); !condition() && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	So(condition(), ShouldBeTrue)
}

func (s *testServer) used() int64 { return s.gate.Dump().(Dump).BodyBytes }

func (s *testServer) refused() map[string]int64 { return s.gate.Dump().(Dump).Refused }

func statusOf(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards against limits that ordinary traffic meets: hundreds of connections from one address, and large bodies.
func TestOrdinaryTrafficMeetsNoLimit(t *testing.T) {
	Convey("Hundreds of requests on connections from one address, and large bodies of both kinds, are served", t, func() {
		s := newTestServer(t, DefaultLimits(144, 3075))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}}
		defer client.CloseIdleConnections()
		post := func(body io.Reader) string {
			resp, err := client.Post("http://"+s.addr, "", body)
			if err != nil {
				return err.Error()
			}
			defer func() { _ = resp.Body.Close() }()
			data, _ := io.ReadAll(resp.Body)
			return string(data)
		}
		var calls sync.WaitGroup
		answers := make(chan string, 4000)
		for range 400 {
			calls.Go(func() {
				for range 10 {
					answers <- post(strings.NewReader(strings.Repeat("x", 4000)))
				}
			})
		}
		calls.Wait()
		close(answers)
		counts := map[string]int{}
		for a := range answers {
			counts[a]++
		}
		So(counts, ShouldResemble, map[string]int{"4000": 4000})
		whole := bytes.Repeat([]byte("x"), testBodyLimit)
		So(post(bytes.NewReader(whole)), ShouldEqual, "262144")
		So(post(io.MultiReader(bytes.NewReader(whole))), ShouldEqual, "262144") // chunked, since its length is unknown
		So(s.refused(), ShouldBeEmpty)
		until(func() bool { return s.used() == 0 })
	})
}

// Guards against stalled bodies that keep their room.
func TestStalledBodiesAreEnded(t *testing.T) {
	for _, c := range []struct{ name, header, body string }{
		{"declared", "Content-Length: 4000", "x"},
		{"chunked", "Transfer-Encoding: chunked", "1\r\nx\r\n"},
	} {
		Convey("A stalled body is answered with 408 and gives its room back: "+c.name, t, func() {
			s := newTestServer(t, DefaultLimits(144, 3075))
			conn := s.begin(t, c.header, c.body)
			until(func() bool { return s.used() > 0 })
			for range 3 + 10 {
				s.gate.sweep(time.Second)
			}
			So(statusOf(conn), ShouldEqual, http.StatusRequestTimeout)
			until(func() bool { return s.used() == 0 })
			So(s.refused(), ShouldResemble, map[string]int64{"body_stalled": 1})
		})
	}
}

// Guards against refusals that are kept, that the client can't read, or that are permanent.
func TestBodiesWithoutRoomAreRefused(t *testing.T) {
	Convey("Large bodies beyond the share of their address are refused, small ones are not", t, func() {
		s := newTestServer(t, Limits{BodyBytes: 1 << 20, DecodeBytes: 1 << 20, Connections: [listenerCount]int{100, 100, 100}, ReceiveBuffer: receiveBuffer, SendBuffer: sendBuffer,
			Progress: DefaultLimits(0, 0).Progress})
		first := s.begin(t, "Content-Length: 262144", "x")
		until(func() bool { return s.used() == 262144 })
		second := s.begin(t, "Content-Length: 262144", "x")
		until(func() bool { return s.used() == 2*262144 })
		So(statusOf(s.begin(t, "Content-Length: 262144", strings.Repeat("x", 100_000))), ShouldEqual, http.StatusServiceUnavailable)
		So(statusOf(s.begin(t, "Content-Length: 4000", strings.Repeat("x", 4000))), ShouldEqual, http.StatusOK)
		So(statusOf(s.begin(t, "Content-Length: 262145", "x")), ShouldEqual, http.StatusRequestEntityTooLarge)
		_, _ = first.Close(), second.Close()
		until(func() bool { return s.used() == 0 })
		So(statusOf(s.begin(t, "Content-Length: 262144", strings.Repeat("x", 262144))), ShouldEqual, http.StatusOK)
	})
}

// Guards against connections that are closed, or wait for ever, because a handler did not read a body.
func TestUnreadBodies(t *testing.T) {
	get := func(t *testing.T, s *testServer, length, sent int) net.Conn {
		c := s.dial(t)
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
		return c
	}
	Convey("A connection stays open after a small body that was not read", t, func() {
		s := newTestServer(t, DefaultLimits(144, 3075))
		c := get(t, s, 4000, 4000)
		So(statusOf(c), ShouldEqual, http.StatusOK)
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(statusOf(c), ShouldEqual, http.StatusOK)
	})
	Convey("The answer comes and the connection is closed when such a body stalls or is large", t, func() {
		s := newTestServer(t, DefaultLimits(144, 3075))
		for _, sent := range []struct{ length, sent int }{{4000, 1}, {200_000, 100_000}} {
			c := get(t, s, sent.length, sent.sent)
			So(statusOf(c), ShouldEqual, http.StatusOK)
			until(func() bool { return s.gate.connections[Callers].count() == 0 })
			_ = c.Close()
		}
	})
}

// Guards against unread bodies that are charged as long headers: idle connections would keep the room, and a refusal for lack of room
// would be lost.
func TestUnreadBodiesAreNotHeaders(t *testing.T) {
	Convey("An idle connection holds nothing after a body that was not read", t, func() {
		s := newTestServer(t, DefaultLimits(144, 3075))
		c := s.dial(t)
		for range 3 {
			_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n%s", strings.Repeat("x", 40_000))
			So(statusOf(c), ShouldEqual, http.StatusOK)
			So(s.used(), ShouldEqual, 0)
		}
	})
	Convey("A client whose body was refused for lack of room gets the answer and keeps its connection", t, func() {
		l := DefaultLimits(144, 3075)
		l.BodyBytes = 1 << 20
		s := newTestServer(t, l)
		for range 2 {
			s.begin(t, "Content-Length: 262144", "x")
		}
		for range 16 {
			s.begin(t, "Content-Length: 16384", "x")
		}
		until(func() bool { return s.used() == 6<<17 })
		c := s.begin(t, "Content-Length: 16000", strings.Repeat("x", 16_000))
		So(statusOf(c), ShouldEqual, http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(statusOf(c), ShouldEqual, http.StatusOK)
	})
}

// Guards against large answers that are cut although the client reads them, only slowly.
func TestSlowlyReadAnswersAreNotCut(t *testing.T) {
	Convey("An answer of which the client takes a part from time to time is not ended, one that it does not read is", t, func() {
		l := DefaultLimits(144, 3075)
		g := New(l, tally.NoopScope, zap.NewNop())
		server, client := net.Pipe()
		c := g.add(Callers, server)
		const size = 1 << 20
		written := make(chan error, 1)
		go func() {
			_, err := c.Write(make([]byte, size))
			written <- err
		}()
		for range size / (64 << 10) {
			_, err := io.ReadFull(client, make([]byte, 64<<10))
			So(err, ShouldBeNil)
			g.sweep(time.Second)
			g.sweep(time.Second)
		}
		So(<-written, ShouldBeNil)
		go func() {
			_, err := c.Write([]byte("x"))
			written <- err
		}()
		until(func() bool { return c.writes.Load()%2 == 1 })
		for range 1 + 10 {
			g.sweep(time.Second)
		}
		So(<-written, ShouldNotBeNil)
	})
}

// Guards against new clients that are locked out by connections that nobody uses.
func TestNewConnectionsReplaceUnusedOnes(t *testing.T) {
	Convey("Beyond the limit the oldest unused connection is closed", t, func() {
		l := DefaultLimits(144, 3075)
		l.Connections[Callers] = 20
		s := newTestServer(t, l)
		var open []net.Conn
		for i := range 50 {
			open = append(open, s.dial(t))
			until(func() bool { return s.gate.numbers.Load() == int64(i+1) })
		}
		until(func() bool { return s.refused()["connection_unused"] == 30 })
		_, err := open[0].Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		_, _ = fmt.Fprint(open[49], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(statusOf(open[49]), ShouldEqual, http.StatusOK)
		So(s.gate.connections[Callers].count(), ShouldEqual, 20)
	})
}

// Guards against long headers that use memory beside the budget.
func TestLongHeadersUseTheBudget(t *testing.T) {
	Convey("A long header is charged until its request has ended", t, func() {
		s := newTestServer(t, DefaultLimits(144, 3075))
		c := s.dial(t)
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s", strings.Repeat("x", 12<<10))
		until(func() bool { return s.used() >= 8<<10 })
		_, _ = fmt.Fprint(c, "\r\n\r\n")
		So(statusOf(c), ShouldEqual, http.StatusOK)
		until(func() bool { return s.used() == 0 })
	})
}

// BenchmarkRequest measures what a request with a body of 4 kB costs with and without the Gate.
func BenchmarkRequest(b *testing.B) {
	g := New(DefaultLimits(144, 3075), tally.NoopScope, zap.NewNop())
	server, _ := net.Pipe()
	c := g.add(Callers, server)
	data := bytes.Repeat([]byte("x"), 4000)
	serve := func(ctx context.Context) func(*testing.B) {
		return func(b *testing.B) {
			h := handler{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := ReadBody(r, testBodyLimit)
				room, _ := BeginDecoding(r.Context(), body)
				room.End()
			})}
			r := httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx)
			reader := bytes.NewReader(data)
			closer := io.NopCloser(eofReader{reader})
			w := httptest.NewRecorder()
			b.ReportAllocs()
			for b.Loop() {
				reader.Reset(data)
				r.Body, r.ContentLength = closer, int64(len(data))
				h.ServeHTTP(w, r)
			}
		}
	}
	b.Run("plain", serve(context.Background()))
	b.Run("guarded", serve(withConn(context.Background(), c)))
}

// eofReader reports the end together with the last bytes, as the server's own bodies do.
type eofReader struct{ *bytes.Reader }

func (r eofReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.Len() == 0 {
		err = io.EOF
	}
	return n, err
}

// fullGate returns a Gate whose listener for callers has all connections that it may have.
func fullGate(limit int) (*Gate, net.Conn) {
	l := DefaultLimits(144, 3075)
	l.Connections[Callers] = limit
	g := New(l, tally.NoopScope, zap.NewNop())
	server, _ := net.Pipe()
	for range limit {
		g.add(Callers, server)
	}
	return g, server
}

// BenchmarkReplaceConnection measures what a new connection costs beyond the limit.
func BenchmarkReplaceConnection(b *testing.B) {
	g, server := fullGate(1024)
	for b.Loop() {
		g.add(Callers, server)
	}
}

// BenchmarkSweep measures a look at all connections.
func BenchmarkSweep(b *testing.B) {
	g, _ := fullGate(1024)
	for b.Loop() {
		g.sweep(sweepInterval)
	}
}
