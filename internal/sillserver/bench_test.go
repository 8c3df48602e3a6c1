package sillserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// BenchmarkSmallRequest is the cost of a request of 1 KB on a kept connection.
func BenchmarkSmallRequest(b *testing.B) {
	s, err := Listen(benchConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := benchRead(w, r); err != nil {
			b.Error(err)
		}
	})))
	if err != nil {
		b.Fatal(err)
	}
	group := sillgroup.New(context.Background())
	group.Go(func(context.Context) { s.Serve() })
	defer group.Wait()
	defer s.Close()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	text := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		for line := ""; line != "\r\n"; {
			if line, err = r.ReadString('\n'); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func benchConfig(h http.Handler) Config {
	limits := CallerLimits(3075)
	limits.Budget = sillbudget.New(40<<20, nil)
	return Config{Address: "127.0.0.1:0", Handler: h, Limits: limits}
}

func benchRead(w http.ResponseWriter, r *http.Request) ([]byte, error) { return ReadBody(w, r, 1<<20) }

// BenchmarkReadBody is the cost of the memory of a body, by its size.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 256 << 10, 1 << 20, 4 << 20} {
		for _, announced := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d KiB, announced %t", size>>10, announced), func(b *testing.B) {
				content := make([]byte, size)
				b.ReportAllocs()
				b.SetBytes(int64(size))
				for b.Loop() {
					r := &http.Request{Body: io.NopCloser(bytes.NewReader(content)), ContentLength: -1}
					if announced {
						r.ContentLength = int64(size)
					}
					if read, err := ReadBody(nil, r, 4<<20); err != nil || len(read) != size {
						b.Fatalf("%d bytes (%v), want %d", len(read), err, size)
					}
				}
			})
		}
	}
}
