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

// callTimeout is the time after which an operator or a server calls the next VM.
const callTimeout = time.Second

var errNoAnswer = errors.New("no control VM gave a clear answer")

type (
	// config is the document of PUT /api/config.
	config struct {
		Version  string          `json:"version"`
		Services []configService `json:"services"`
		Limits   configLimits    `json:"limits"`
		Hosts    []configHost    `json:"hosts"`
		Tenants  []configTenant  `json:"tenants,omitempty"`
	}

	configService struct {
		Name           string  `json:"name"`
		HealthPath     string  `json:"healthPath"`
		MaxConnections int     `json:"maxConnections"`
		Protocol       string  `json:"protocol"`
		TLS            bool    `json:"tls"`
		ColdStartS     float64 `json:"coldStartS"`
		ColdPerS       float64 `json:"coldPerS"`
	}

	configLimits struct {
		MaxHeaderBytes int     `json:"maxHeaderBytes"`
		MaxBodyBytes   int     `json:"maxBodyBytes"`
		HeaderTimeoutS float64 `json:"headerTimeoutS"`
		IdleTimeoutS   float64 `json:"idleTimeoutS"`
	}

	configHost struct {
		Host  string       `json:"host"`
		Paths []configPath `json:"paths"`
	}

	configPath struct {
		Name            string        `json:"name"`
		PathPrefix      string        `json:"pathPrefix"`
		Kind            string        `json:"kind"`
		TimeoutS        float64       `json:"timeoutS"`
		TargetLatencyS  float64       `json:"targetLatencyS"`
		Priority        int           `json:"priority"`
		Service         string        `json:"service,omitempty"`
		TrafficSplit    []configSplit `json:"trafficSplit,omitempty"`
		MaxAttempts     int           `json:"maxAttempts"`
		SessionAffinity bool          `json:"sessionAffinity"`
		HomeRegions     []string      `json:"homeRegions"`
	}

	configSplit struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	configTenant struct {
		Name        string   `json:"name"`
		APIKeys     []string `json:"apiKeys"`
		Priority    int      `json:"priority"`
		RatePerS    float64  `json:"ratePerS"`
		Burst       float64  `json:"burst"`
		HomeRegions []string `json:"homeRegions"`
	}

	// operator calls the control VMs, one after another.
	operator struct {
		c    *cluster
		next int
	}
)

func versionText(v int) string { return fmt.Sprintf("%08x", v) }

func newConfig(version int, services ...string) *config {
	cfg := &config{Version: versionText(version), Limits: configLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutS: 3, IdleTimeoutS: 15}}
	for _, s := range services {
		cfg.Services = append(cfg.Services, configService{Name: s, HealthPath: "/health", MaxConnections: 390, Protocol: "h1", ColdStartS: 3, ColdPerS: 8})
	}
	return cfg
}

func (c *config) encode() []byte {
	data, _ := json.Marshal(c)
	return data
}

// call makes one call to a control VM.
func (v *vm) call(method, path, ifMatch string, body []byte, timeout time.Duration) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+v.addr(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		r.Header.Set("If-Match", ifMatch)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	res, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// order sends a call to one control VM after another until one gives a clear answer.
func (o *operator) order(method, path, ifMatch string, body []byte, limit time.Duration) (int, error) {
	timeout := callTimeout + time.Duration(len(body)>>20)*time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); {
		v := o.c.controls[o.next%len(o.c.controls)]
		status, _, err := v.call(method, path, ifMatch, body, timeout)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, nil
		}
		o.next++
		time.Sleep(50 * time.Millisecond)
	}
	return 0, errNoAnswer
}

// put sends a configuration on top of a version until it is accepted.
func (o *operator) put(base int, cfg *config, limit time.Duration) error {
	status, err := o.order(http.MethodPut, "/api/config", versionText(base), cfg.encode(), limit)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the configuration %s was answered %d", cfg.Version, status)
	}
	return nil
}
