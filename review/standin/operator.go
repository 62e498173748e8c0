package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route and service are the parts of a table that the cases use.
type route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Path    string `json:"path"`
	Kind    string `json:"kind"`
	Timeout int    `json:"timeout"`
	Aim     int    `json:"aim"`
	Rank    int    `json:"rank"`
	Service string `json:"service"`
	Tries   int    `json:"tries"`
}

type service struct {
	Name        string  `json:"name"`
	Health      string  `json:"health"`
	Connections int     `json:"connections"`
	Protocol    string  `json:"protocol"`
	TLS         bool    `json:"tls"`
	Cold        float64 `json:"cold"`
	Rate        float64 `json:"rate"`
}

type table struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// operator sends orders to the control processes.
type operator struct {
	cluster *cluster
	client  http.Client
}

func newOperator(c *cluster) *operator {
	return &operator{cluster: c, client: http.Client{Timeout: time.Second}}
}

// order sends a call to one control process after the other until it is acknowledged.
func (o *operator) order(method, path, ifMatch string, body []byte) error {
	backoff := 50 * time.Millisecond
	for n := range 30 {
		v := o.cluster.controls[n%len(o.cluster.controls)]
		status, answer, err := o.call(v, method, path, ifMatch, body)
		o.cluster.record.add("operator: %s %s at %s: status %d %v %.200s", method, path, v.name, status, err, answer)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status >= 400 && status < 500:
			return fmt.Errorf("%s %s refused with %d: %s", method, path, status, answer)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 500*time.Millisecond)
	}
	return errors.New("no acknowledgement")
}

func (o *operator) call(v *vm, method, path, ifMatch string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+v.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// putTable sends a whole table that builds on version base.
func (o *operator) putTable(base int, t table) error {
	raw, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return o.order(http.MethodPut, "/table", fmt.Sprint(base), raw)
}
