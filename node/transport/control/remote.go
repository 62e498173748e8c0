package control

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/transport/tcp"
)

// remote is the connection to one control process.
type remote struct {
	server Server
	http   *http.Transport
	rpc    controlconnect.ControlClient
}

// newRemotes returns a remote per control process, each with an HTTP/2 connection of its own that opens on first use.
func newRemotes(cfg Config, servers []Server) map[string]*remote {
	remotes := map[string]*remote{}
	for _, s := range servers {
		t := newTransport(cfg)
		rpc := controlconnect.NewControlClient(&http.Client{Transport: progressTransport{t}}, "http://"+s.Address.String(), connect.WithReadMaxBytes(control.MaxResponseBytes))
		remotes[s.Name] = &remote{server: s, http: t, rpc: rpc}
	}
	return remotes
}

func newTransport(cfg Config) *http.Transport {
	dial := tcp.Dialer{Bind: cfg.Bind, Timeout: RequestTimeout, FirstTryTimeout: FirstDialTimeout}.DialContext
	if cfg.Dial != nil {
		dial = cfg.Dial
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     dial,
		Protocols:       p,
		IdleConnTimeout: time.Minute,

		MaxResponseHeaderBytes: control.MaxResponseHeaderBytes,
		// Pings detect that a control process is cut off from the network; TCP alone keeps the connection for minutes.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}
}
