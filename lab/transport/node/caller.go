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
	maxConns    = 2048            // per node and client
	idle        = 5 * time.Second // shorter than the idle limit of a node, so that no request meets a closing connection
	bufferSize  = 64 << 10        // bytes read at once from a download
	dialTimeout = time.Second
)

// Caller sends requests to one node.
type Caller struct {
	cfg    Config
	client *fasthttp.HostClient
	stream *fasthttp.HostClient
}

// Config names the node and the source address of the requests.
type Config struct {
	NodeAddress netip.AddrPort
	SourceIP    netip.Addr
	Timeout     time.Duration
	Host        string // Host header
}

// Result is what the caller saw of one request.
type Result struct {
	Status      int
	Outcome     attempt.Outcome
	ProxyStatus string // Proxy-Status of a refusal (RFC 9209)
	Complete    bool   // status 200 and the complete, matching body
	Latency     time.Duration
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
	host := func(stream bool) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr:                      cfg.NodeAddress.String(),
			Dial:                      func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) },
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       idle,
			MaxIdemponentCallAttempts: 1,
			StreamResponseBody:        stream,
		}
	}
	return &Caller{cfg: cfg, client: host(false), stream: host(true)}
}

// Lookup sends an idempotent request and expects its own ID back.
func (c *Caller) Lookup(id string) Result {
	return c.call(fasthttp.MethodGet, "/free/"+id, id, "")
}

// Reserve sends a reservation; key is the Idempotency-Key, empty for none.
func (c *Caller) Reserve(id, key string) Result {
	return c.call(fasthttp.MethodPost, "/reserve/"+id, id, key)
}

func (c *Caller) call(method, path, id, key string) Result {
	req, resp := c.request(method, path)
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	err := c.client.DoTimeout(req, resp, c.cfg.Timeout)
	r := c.result(resp, err, start)
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

// Download reads size bytes and checks each of them.
func (c *Caller) Download(size int) Result {
	req, resp := c.request(fasthttp.MethodGet, "/book/"+strconv.Itoa(size))
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	start := time.Now()
	err := c.stream.DoTimeout(req, resp, c.cfg.Timeout)
	r := c.result(resp, err, start)
	if r.Err != nil || r.Status != fasthttp.StatusOK {
		return r
	}
	n, err := check(resp.BodyStream())
	r.Latency = time.Since(start)
	if err != nil {
		r.Err = errors.Wrapf(err, "read download from node %s", c.cfg.NodeAddress)
	}
	r.Complete = err == nil && n == size
	return r
}

func (c *Caller) request(method, path string) (*fasthttp.Request, *fasthttp.Response) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.cfg.NodeAddress.String() + path)
	req.Header.SetHost(c.cfg.Host)
	req.UseHostHeader = true
	return req, resp
}

func (c *Caller) result(resp *fasthttp.Response, err error, start time.Time) Result {
	r := Result{Latency: time.Since(start)}
	if err != nil {
		r.Err = errors.Wrapf(err, "call node %s", c.cfg.NodeAddress)
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

// check reads a download to its end and compares every byte with its position.
func check(body io.Reader) (int, error) {
	buf := make([]byte, bufferSize)
	total := 0
	for {
		n, err := body.Read(buf)
		for i, b := range buf[:n] {
			if b != byte((total+i)*7) {
				return total + i, errors.Newf("byte %d is %d", total+i, b)
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
