package daemon

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnusableSettings guards against a failed start whose error does not name the flag, the cause and a remedy.
func TestUnusableSettings(t *testing.T) {
	dir := t.TempDir()
	writeCertificates(t, dir, []string{"a1"})
	require.NoError(t, os.WriteFile(filepath.Join(dir, "text"), []byte("speed: 1\n"), 0o600))
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	files := " --cert DIR/cert.pem --key DIR/key.pem --ca DIR/cert.pem --list http://127.0.0.1:1 --peer 127.0.0.1:0 --control 127.0.0.1:0"
	cases := map[string]struct {
		args string
		want []string
	}{
		"port in use":                 {args: "--tree DIR/text --admin " + taken.Addr().String(), want: []string{"--admin", "already in use", "another port"}},
		"address of another machine":  {args: "--tree DIR/text --admin 192.0.2.1:80", want: []string{"--admin", "cannot assign", "address of this machine"}},
		"no tree":                     {args: "--tree DIR/none", want: []string{"--tree", "no such file", "readable"}},
		"bad tree":                    {args: "--tree DIR/text --admin 127.0.0.1:0", want: []string{"--tree", `text:1: unknown name "speed"`, "verbctl check"}},
		"unreadable certificate":      {args: "--tree DIR/text" + files + " --cert DIR", want: []string{"--cert", "is a directory", "Certificates"}},
		"no key":                      {args: "--tree DIR/text" + files + " --key DIR/none", want: []string{"--key", "none: no such file", "Certificates"}},
		"no authority":                {args: "--tree DIR/text" + files + " --ca DIR/text", want: []string{"--ca", "text: no certificate found", "Certificates"}},
		"certificate of another node": {args: "--tree DIR/text" + files + " --name b1", want: []string{"--cert", "valid for a1, not b1", "Certificates"}},
		"not a key":                   {args: "--tree DIR/text" + files + " --key DIR/text", want: []string{"--key", "text: tls:", "Certificates"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			args := "--name a1 --domain a --service app --target http://127.0.0.1:1 --caller 127.0.0.1:0 " + tc.args
			s, err := ParseSettings(strings.Fields(strings.ReplaceAll(args, "DIR", dir)))
			require.NoError(t, err)
			_, err = New(s, PolicyFromEnv(os.Getenv), io.Discard)
			require.Equal(t, ExitUnusable, ExitCode(err))
			for _, text := range tc.want {
				require.ErrorContains(t, err, text)
			}
		})
	}
}
