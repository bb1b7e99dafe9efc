package http1

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/tcp"
)

// TestReusedConnection guards against heads that are checked on new connections only, or not over TLS.
func TestReusedConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			scheme, base := "http", &http.Transport{TLSHandshakeTimeout: 5 * time.Second}
			if secure {
				donor := httptest.NewTLSServer(nil)
				defer donor.Close()
				l = tls.NewListener(l, &tls.Config{Certificates: donor.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}})
				scheme, base.TLSClientConfig = "https", donor.Client().Transport.(*http.Transport).TLSClientConfig
			}
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				br := bufio.NewReader(c)
				for _, response := range []string{"Content-Length: 4\r\n\r\nbody", "Content-Length : 4\r\n\r\nbody"} {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+response)
				}
				_, _ = io.Copy(io.Discard, br) // until the client closes the connection
			}()
			transport := NewTransport(base, tcp.NewDial(time.Second))
			client := &http.Client{Transport: transport}
			res, err := client.Get(scheme + "://" + l.Addr().String())
			require.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, "body", string(body))
			require.NoError(t, res.Body.Close())
			_, err = client.Get(scheme + "://" + l.Addr().String())
			require.ErrorAs(t, err, new(HeadError))
			<-ended
		})
	}
}
