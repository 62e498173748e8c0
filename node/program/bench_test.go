package program_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// samples is the number of calls per rate and path. At 1 call/s the p99 is that of 120 calls, so the second slowest.
var samples = map[int]int{1: 120, 60: 3000, 600: 12_000}

// BenchmarkAddedLatency compares calls through two nodes with direct calls in the same run: at every
// turn one call goes each way, so that both see the same machine. Calls start at the given rate
// whether or not earlier ones have ended. One iteration is the whole measurement: use -benchtime=1x.
func BenchmarkAddedLatency(b *testing.B) {
	for _, rate := range []int{1, 60, 600} {
		b.Run(strconv.Itoa(rate)+"per_s", func(b *testing.B) {
			f := newFake(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("free: 3, 7, 9")) })
			entry, _ := pair(b, newGroup(), f)
			for range b.N {
				measure(b, rate, "http://"+f.address()+"/free", "http://"+entry.settings.CallerAddress.String()+"/free")
			}
		})
	}
}

func measure(b *testing.B, rate int, direct, nodes string) {
	gap := time.Second / time.Duration(rate)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	straight, through := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	call := func(url string, h *hdrhistogram.Histogram) {
		began := time.Now()
		if !get(client, url) {
			b.Errorf("call to %s failed", url)
			return
		}
		took := time.Since(began).Microseconds()
		mu.Lock()
		defer mu.Unlock()
		_ = h.RecordValue(took)
	}
	for range 50 {
		get(client, direct)
		get(client, nodes)
	}
	var wg sync.WaitGroup
	tick := time.NewTicker(gap / 2)
	defer tick.Stop()
	for range samples[rate] {
		<-tick.C
		wg.Go(func() { call(direct, straight) })
		<-tick.C
		wg.Go(func() { call(nodes, through) })
	}
	wg.Wait()
	for _, q := range []float64{50, 99} {
		name := strconv.Itoa(int(q))
		d, n := straight.ValueAtQuantile(q), through.ValueAtQuantile(q)
		b.ReportMetric(float64(d), "direct-p"+name+"-us")
		b.ReportMetric(float64(n), "nodes-p"+name+"-us")
		b.ReportMetric(float64(n-d), "added-p"+name+"-us")
	}
}

func get(client *http.Client, url string) bool {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return false
	}
	req.Host = "desk.example"
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// Sizes of the memory measurement.
const (
	downloads = 50
	bookSize  = 256 << 20 // bytes
)

// BenchmarkStreamingMemory streams 50 large downloads to slow readers through two nodes. The figure is that of the
// whole process, which holds both nodes, the back end and the callers. Use -benchtime=1x.
func BenchmarkStreamingMemory(b *testing.B) {
	part := make([]byte, 64<<10)
	f := newFake(b, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/book" {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(bookSize))
		for range bookSize / len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	g := newGroup()
	g.state.RulesText += "limit desk slots=50 connections=60 queue=24 # test: all downloads at once\n"
	g.state.RulesText += "cold desk 50 # test: admission must not hold back a download\n"
	entry, _ := pair(b, g, f)
	for range b.N {
		debug.FreeOSMemory()
		before := resident(b)
		most := download(b, entry)
		b.ReportMetric(float64(before)/(1<<20), "before-MiB")
		b.ReportMetric(float64(most)/(1<<20), "peak-MiB")
	}
}

// download reads every book in turns, so that all streams stay in flight, and returns the peak of resident memory.
func download(b *testing.B, v *vm) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var conns []net.Conn
	for range downloads {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", v.settings.CallerAddress.String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /book HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, status); err != nil || string(status) != "HTTP/1.1 200" {
			b.Fatalf("%q, error %v", status, err)
		}
		conns = append(conns, c)
	}
	most, buf := uint64(0), make([]byte, 1<<20)
	for range 32 {
		for _, c := range conns {
			if _, err := io.ReadFull(c, buf); err != nil {
				b.Fatal(err)
			}
		}
		most = max(most, resident(b))
	}
	runtime.KeepAlive(conns)
	return most
}

// resident returns the resident memory of this process in bytes.
func resident(b *testing.B) uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseUint(strings.Fields(string(raw))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * uint64(os.Getpagesize())
}
