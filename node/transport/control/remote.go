package control

import (
	"net/http"
	"time"

	"pollenhill.example/core/protocol/control/controlconnect"
	"pollenhill.example/core/transport/tcp"
)

// remote is the connection to one control process.
type remote struct {
	server Server
	http   *http.Transport
	rpc    controlconnect.ControlClient
}

// dial prepares one HTTP/2 connection per control process; the connections open on first use.
func dial(cfg Config, servers []Server) map[string]*remote {
	remotes := map[string]*remote{}
	for _, s := range servers {
		t := transport(cfg)
		rpc := controlconnect.NewControlClient(&http.Client{Transport: t}, "http://"+s.Address.String())
		remotes[s.Name] = &remote{server: s, http: t, rpc: rpc}
	}
	return remotes
}

func transport(cfg Config) *http.Transport {
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
		// Pings close connections to a silently partitioned process, which TCP keeps for minutes.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}
}
