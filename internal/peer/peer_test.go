package peer

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/internal/wait"
)

type ping struct {
	N int `json:"n"`
}

func newTestServer(secret string, fn func(context.Context, ping) (ping, error)) *httptest.Server {
	gin.SetMode(gin.TestMode)
	e := gin.New()
	Handle(e.Group("/peer/v1", Authenticate(secret)), "/ping", fn)
	return httptest.NewServer(e)
}

// TestCall guards against accepting calls without the secret, and against reporting a lost answer as a certain failure.
func TestCall(t *testing.T) {
	Convey("Given a peer", t, func() {
		var calls atomic.Int32
		srv := newTestServer("right", func(_ context.Context, p ping) (ping, error) {
			calls.Add(1)
			if p.N < 0 {
				return ping{}, errors.New("negative")
			}
			return ping{p.N + 1}, nil
		})
		Reset(srv.Close)
		addr := strings.TrimPrefix(srv.URL, "http://")
		call := func(secret, addr string, n int) (ping, error) {
			c := NewClient(secret, network.TCP().Dial)
			defer c.Close()
			return Call[ping](context.Background(), c, addr, "/peer/v1/ping", ping{n})
		}
		Convey("the answer comes back", func() {
			got, err := call("right", addr, 1)
			So(err, ShouldBeNil)
			So(got.N, ShouldEqual, 2)
		})
		Convey("a call with a wrong secret reaches no handler", func() {
			for _, s := range []string{"wrong", "", "rights", "righ"} {
				_, err := call(s, addr, 1)
				So(errors.Is(err, ErrFailed), ShouldBeTrue)
			}
			So(calls.Load(), ShouldEqual, 0)
		})
		Convey("an error that the peer returns is reported as a failed call", func() {
			_, err := call("right", addr, -1)
			So(errors.Is(err, ErrFailed), ShouldBeTrue)
		})
		Convey("a refused connection is distinguished from a lost answer", func() {
			srv.Close()
			_, err := call("right", addr, 1)
			So(errors.Is(err, ErrRefused), ShouldBeTrue)
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}

// TestSilentConnection guards against waiting for the whole deadline on a connection that accepts a call and then sends no
// more data, before or after the response header.
func TestSilentConnection(t *testing.T) {
	for name, header := range map[string]string{
		"no header": "",
		"no body":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n ",
	} {
		Convey("A call to a peer that sends "+name+" fails with ErrLost even if the caller sets no deadline", t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { _ = l.Close() })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, header)
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
			}()
			c := NewClient("s", network.TCP().Dial)
			defer c.Close()
			_, err = Call[ping](context.Background(), c, l.Addr().String(), "/peer/v1/ping", ping{})
			So(errors.Is(err, ErrLost), ShouldBeTrue)
		})
	}
}

// TestKeepalive guards against mistaking a slow callee for a dead connection.
func TestKeepalive(t *testing.T) {
	Convey("An answer that comes after several keepalives arrives", t, func() {
		release := make(chan struct{})
		srv := newTestServer("s", func(_ context.Context, p ping) (ping, error) {
			<-release
			return p, nil
		})
		Reset(srv.Close)
		body, w := io.Pipe()
		go func() {
			for range 3 {
				_, _ = w.Write([]byte(" "))
			}
			_, _ = w.Write([]byte(`{}`))
			_ = w.Close()
		}()
		got, err := readUntilSilent(body, silenceTimeout, func() { _ = w.Close() })
		So(err, ShouldBeNil)
		So(strings.TrimSpace(string(got)), ShouldEqual, "{}")
		close(release)
		c := NewClient("s", network.TCP().Dial)
		defer c.Close()
		p, err := Call[ping](context.Background(), c, strings.TrimPrefix(srv.URL, "http://"), "/peer/v1/ping", ping{7})
		So(err, ShouldBeNil)
		So(p.N, ShouldEqual, 7)
	})
}

// TestUnansweredHeartbeats guards against treating an owner as responsive because its own calls arrive, although calls to
// it fail.
func TestUnansweredHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A peer that sends heartbeats but does not answer any is unresponsive", t, func() {
			const addr = "127.0.0.1:1"
			client := NewClient("secret", func(context.Context, string, string) (net.Conn, error) {
				return nil, errors.New("no route")
			})
			h := NewHeartbeater(client, func() []string { return []string{addr} },
				func() Heartbeat { return Heartbeat{} }, func(Heartbeat, time.Time) {})
			ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() { h.Run(ctx) })
			for wait.For(ctx, 700*time.Millisecond) {
				_, err := h.Serve(ctx, Heartbeat{ID: addr})
				So(err, ShouldBeNil)
			}
			So(h.Unresponsive(addr), ShouldBeTrue)
			So(h.Alive(), ShouldHaveLength, 1)
			wg.Wait()
		})
	})
}
