package requeststats

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenhill.example/core/protocol/attempt"
)

const (
	highest = int64(60 * time.Second / time.Microsecond) // longest latency that is told apart, microseconds
	digits  = 3
)

// Row is one kind of request in one phase.
type Row struct {
	Phase string
	Kind  Kind
}

// Counts is what happened to the requests of one row.
type Counts struct {
	Sent     int
	Complete int
	NotRun   int
	Unknown  int
	Latency  *hdrhistogram.Histogram // microseconds, whole answers only
}

// Table counts results, safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	order  []Row
	counts map[Row]*Counts
}

// New returns an empty Table.
func New() *Table {
	return &Table{counts: map[Row]*Counts{}}
}

// Add counts one result.
func (t *Table) Add(row Row, whole bool, outcome attempt.Outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.count(row)
	n.Sent++
	switch {
	case whole:
		n.Complete++
		_ = n.Latency.RecordValue(min(latency.Microseconds(), highest))
	case outcome == attempt.NotRun:
		n.NotRun++
	default:
		n.Unknown++
	}
}

// Total returns the sum over all phases but one for one kind.
func (t *Table) Total(kind Kind, except string) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Counts{Latency: hdrhistogram.New(1, highest, digits)}
	for row, n := range t.counts {
		if row.Kind != kind || row.Phase == except {
			continue
		}
		sum.Sent += n.Sent
		sum.Complete += n.Complete
		sum.NotRun += n.NotRun
		sum.Unknown += n.Unknown
		sum.Latency.Merge(n.Latency)
	}
	return sum
}

// Write prints the table.
func (t *Table) Write(w io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "phase\tkind\tsent\twhole\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, row := range t.order {
		n := t.counts[row]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.Phase, row.Kind, n.Sent, n.Complete, n.NotRun, n.Unknown,
			millis(n.Latency, 50), millis(n.Latency, 99), millis(n.Latency, 99.9), millis(n.Latency, 100))
	}
	return tw.Flush()
}

func (t *Table) count(row Row) *Counts {
	n, ok := t.counts[row]
	if !ok {
		n = &Counts{Latency: hdrhistogram.New(1, highest, digits)}
		t.counts[row] = n
		t.order = append(t.order, row)
	}
	return n
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
