package daemon

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"verbenapin.dev/node/tcp"
)

type listeners struct {
	caller, peer, control, admin, ready net.Listener
	loadReports                         *net.UDPConn

	callerFailure func() time.Duration // for how long no connection of a caller could be accepted
}

func (n *Node) listen() error {
	for _, l := range []struct {
		flag    string
		address netip.AddrPort
		kind    tcp.Kind
		dst     *net.Listener
	}{
		{"--caller", n.settings.Caller, tcp.KindCaller, &n.listeners.caller},
		{"--peer", n.settings.Peer, tcp.KindPeer, &n.listeners.peer},
		{"--control", n.settings.Control, tcp.KindControl, &n.listeners.control},
		{"--admin", n.settings.Admin, tcp.KindAdmin, &n.listeners.admin},
		{"--ready", n.settings.Ready, tcp.KindReady, &n.listeners.ready},
	} {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return UnusableError{Flag: l.flag, Err: err, Remedy: listenRemedy(err)}
		}
		accepting := tcp.NewListener(listener, l.kind, n.conns, n.clock, n.onAcceptError)
		if l.kind == tcp.KindCaller {
			n.listeners.callerFailure = accepting.FailingFor
		}
		*l.dst = n.boundListener(l.kind, accepting)
	}
	if n.settings.UsesRegistry {
		// Load reports use the same port as requests between nodes, so that one address identifies a node.
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.settings.Peer))
		if err != nil {
			return UnusableError{Flag: "--peer", Err: err, Remedy: listenRemedy(err)}
		}
		n.listeners.loadReports = conn
	}
	return nil
}

// controlShare is the part of the descriptors, one in so many, that connections of control messages may use. The fleet bounds those of its
// nodes, of which a home has one from each; others wait.
const controlShare = 3

// boundListener returns l with at most the budgeted number of connections; others wait until one is closed. The server of callers
// bounds its connections itself, since it knows which may be closed.
func (n *Node) boundListener(k tcp.Kind, l net.Listener) net.Listener {
	switch k {
	case tcp.KindPeer, tcp.KindAdmin, tcp.KindReady:
		return netutil.LimitListener(l, n.budget.Max(k))
	case tcp.KindControl:
		return netutil.LimitListener(l, n.budget.Descriptors()/controlShare)
	default:
		return l
	}
}

func listenRemedy(err error) string {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return "stop the process that uses it, or choose another port"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return "use an address of this machine"
	case errors.Is(err, syscall.EACCES):
		return "choose a port from 1024"
	default:
		return "choose a free address of this machine"
	}
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.listeners.caller, n.listeners.peer, n.listeners.control, n.listeners.admin, n.listeners.ready} {
		if l != nil {
			_ = l.Close()
		}
	}
	if n.listeners.loadReports != nil {
		_ = n.listeners.loadReports.Close()
	}
}

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.listeners.caller.Addr().String() }
