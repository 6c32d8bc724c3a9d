package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// plainBody is the read without a gate.
func plainBody(r *http.Request, _ *Gate) int {
	raw, err := io.ReadAll(io.LimitReader(r.Body, testLimit+1))
	if err != nil {
		return -1
	}
	return len(raw)
}

func gateBody(r *http.Request, g *Gate) int {
	raw, refusal := g.ReadBody(r, testLimit)
	if refusal != nil {
		return -1
	}
	return len(raw)
}

// BenchmarkRequest compares a request on a kept connection with the gate and without it.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 600, 60_000} {
		for name, read := range map[string]func(*http.Request, *Gate) int{"plain": plainBody, "gate": gateBody} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				g := NewGate(testLimits(), hclog.NewNullLogger())
				handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, read(r, g)) })
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
				if name == "gate" {
					server, l = g.Server(handler), g.Listener(l)
				}
				go func() { _ = server.Serve(l) }()
				defer server.Shutdown(context.Background())
				conn := send(b, l.Addr().String(), "")
				request, reader := []byte(post(size, strings.Repeat("x", size))), bufio.NewReader(conn)
				b.ResetTimer()
				for range b.N {
					if _, err := conn.Write(request); err != nil {
						b.Fatal(err)
					}
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				b.StopTimer()
				_ = conn.Close()
			})
		}
	}
}

// BenchmarkConnection shows what an idle connection takes of the process's memory, with
// the client's end of it in the same process.
func BenchmarkConnection(b *testing.B) {
	const conns = 400
	limits := testLimits()
	limits.Connections = conns
	for range b.N {
		var before, after runtime.MemStats
		g, address := startGate(b, limits)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range conns {
			send(b, address, "")
		}
		for g.Counters()["clients_connections"] < conns {
			time.Sleep(time.Millisecond)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/conns, "B/conn")
	}
}
