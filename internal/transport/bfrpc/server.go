package bfrpc

import (
	"net/http"
	"time"
)

// NewServer returns a server for HTTP/1.1 and cleartext HTTP/2. It closes connections
// that are idle or whose peer doesn't answer HTTP/2 pings.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       30 * time.Second,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second},
	}
}
