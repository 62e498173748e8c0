package node

import (
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenhill.example/core/protocol/attempt"
)

const (
	maxConnections     = 2048            // of each HTTP client to the node
	maxIdleTime        = 5 * time.Second // shorter than the idle timeout of a node, so that no request is sent on a connection that the node is closing
	downloadBufferSize = 64 << 10        // bytes per read of a download
	dialTimeout        = time.Second
)

// Caller sends requests to one node.
type Caller struct {
	cfg          Config
	client       *fasthttp.HostClient
	streamClient *fasthttp.HostClient // reads response bodies while they arrive
}

// Config sets the node, the source address and the timeout of requests.
type Config struct {
	NodeAddress netip.AddrPort
	SourceIP    netip.Addr
	Timeout     time.Duration // for one request
	Host        string        // Host header
}

// Result is the outcome of one request as the caller sees it.
type Result struct {
	Status      int
	Outcome     attempt.Outcome
	ProxyStatus string        // Proxy-Status header of a refusal (RFC 9209)
	Complete    bool          // status 200 and a complete body that matches the request
	Latency     time.Duration // until the response was read
	Reply       Reply
	Err         error
}

// Reply is the body of a lookup or reservation.
type Reply struct {
	ID       string `json:"id"`
	Backend  string `json:"backend"`
	RunCount int    `json:"run"`
}

// New returns a Caller.
func New(cfg Config) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.SourceIP, 0))}
	newClient := func(stream bool) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr:                      cfg.NodeAddress.String(),
			Dial:                      func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) },
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       maxIdleTime,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        stream,
		}
	}
	return &Caller{cfg: cfg, client: newClient(false), streamClient: newClient(true)}
}

// Lookup sends an idempotent request; the response is complete only if it has the same ID.
func (c *Caller) Lookup(id string) Result {
	return c.sendRequest(fasthttp.MethodGet, "/free/"+id, id, "")
}

// Reserve sends a reservation; key is the value of the Idempotency-Key header, empty for none.
func (c *Caller) Reserve(id, key string) Result {
	return c.sendRequest(fasthttp.MethodPost, "/reserve/"+id, id, key)
}

func (c *Caller) sendRequest(method, path, id, key string) Result {
	req, resp := c.newRequest(method, path)
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	err := c.client.DoTimeout(req, resp, c.cfg.Timeout)
	r := c.newResult(resp, err, start)
	if r.Err != nil || r.Status != fasthttp.StatusOK {
		return r
	}
	if err := json.Unmarshal(resp.Body(), &r.Reply); err != nil {
		r.Err = errors.Wrapf(err, "read response of node %s", c.cfg.NodeAddress)
		return r
	}
	r.Complete = r.Reply.ID == id
	return r
}

// Download requests size bytes and checks the value of each byte.
func (c *Caller) Download(size int) Result {
	req, resp := c.newRequest(fasthttp.MethodGet, "/book/"+strconv.Itoa(size))
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	err := c.streamClient.DoTimeout(req, resp, c.cfg.Timeout)
	r := c.newResult(resp, err, start)
	if r.Err != nil || r.Status != fasthttp.StatusOK {
		return r
	}
	n, err := readDownload(resp.BodyStream())
	r.Latency = time.Since(start)
	if err != nil {
		r.Err = errors.Wrapf(err, "read download from node %s", c.cfg.NodeAddress)
	}
	r.Complete = err == nil && n == size
	return r
}

func (c *Caller) newRequest(method, path string) (*fasthttp.Request, *fasthttp.Response) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.cfg.NodeAddress.String() + path)
	req.Header.SetHost(c.cfg.Host)
	req.UseHostHeader = true
	return req, resp
}

func (c *Caller) newResult(resp *fasthttp.Response, err error, start time.Time) Result {
	r := Result{Latency: time.Since(start)}
	if err != nil {
		r.Err = errors.Wrapf(err, "send request to node %s", c.cfg.NodeAddress)
		return r
	}
	r.Status = resp.StatusCode()
	r.ProxyStatus = string(resp.Header.Peek("Proxy-Status"))
	if string(resp.Header.Peek(attempt.HeaderOutcome)) == attempt.NotRun.String() {
		r.Outcome = attempt.NotRun
	} else if r.Status == fasthttp.StatusOK {
		r.Outcome = attempt.Answered
	}
	return r
}

// readDownload reads a download to its end, checks that each byte has the value for its position, and returns the number
// of correct bytes.
func readDownload(body io.Reader) (int, error) {
	buf := make([]byte, downloadBufferSize)
	total := 0
	for {
		n, err := body.Read(buf)
		for i, b := range buf[:n] {
			if b != byte((total+i)*7) {
				return total + i, errors.Newf("byte %d is %d instead of %d", total+i, b, byte((total+i)*7))
			}
		}
		total += n
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
