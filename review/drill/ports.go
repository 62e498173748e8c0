package main

import (
	"encoding/json"
	"net"
	"os"
)

// freePort returns a free port of an address.
func freePort(ip string, udp bool) int {
	if udp {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
		if err != nil {
			return 0
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).Port
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// readHeaderNames reads the names of headers from the settings of the first node.
func (w *world) readHeaderNames() error {
	raw, err := os.ReadFile(w.nodes[0].settings)
	if err != nil {
		return err
	}
	var s struct {
		Headers map[string]string `json:"headers"`
	}
	err = json.Unmarshal(raw, &s)
	w.headers = s.Headers
	return err
}
