package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
)

// Ports of listeners, below those that a system usually gives to outgoing connections: one of these could take the port of a
// listener that is opened later.
const (
	firstPort = 20000
	portCount = 10000
)

// freePort returns a free port of an address.
func freePort(ip string, udp bool) int {
	for range 100 {
		port := firstPort + rand.IntN(portCount)
		if isFree(ip, port, udp) {
			return port
		}
	}
	return 0
}

func isFree(ip string, port int, udp bool) bool {
	if udp {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err == nil {
		_ = l.Close()
	}
	return err == nil
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
