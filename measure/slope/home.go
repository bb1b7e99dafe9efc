package slope

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
	"verbenapin.dev/node/account"
	accountrpc "verbenapin.dev/node/account/rpc"
	"verbenapin.dev/node/peer"
)

// maxBorrowers bounds the connections that the measuring process opens.
const maxBorrowers = 2000

// HomeLoad is the load of lease requests on one home.
type HomeLoad struct {
	Borrowers int           // each with its own connection and session
	Interval  time.Duration // between the lease requests of one borrower
}

// HomeUsage holds the resources that a home used under a load.
type HomeUsage struct {
	Load          HomeLoad
	CPU           float64 // cores
	RSS           float64 // MB
	LeaseRequests float64 // answered per second
}

// LoadError reports a load outside the supported range.
type LoadError struct{ Load HomeLoad }

func (e LoadError) Error() string {
	return fmt.Sprintf("slope: %d borrowers at one lease request per %s: 0 to %d borrowers and an interval of at least 10ms are required",
		e.Load.Borrowers, e.Load.Interval, maxBorrowers)
}

// MeasureHome connects borrowers to the only home of a fleet of three nodes and returns the resources that it used.
func MeasureHome(ctx context.Context, binary, dir string, l HomeLoad, settle, length time.Duration) (HomeUsage, error) {
	if l.Borrowers < 0 || l.Borrowers > maxBorrowers || l.Interval < 10*time.Millisecond {
		return HomeUsage{}, LoadError{Load: l}
	}
	d := deployment.Abitudini().WithTotalTargets(len(deployment.Domains)).WithFirstHomes(1)
	f, err := fleet.Start(ctx, fleet.Settings{Binary: binary, Dir: dir, Deployment: d, NoClientRelay: true})
	if err != nil {
		return HomeUsage{}, fmt.Errorf("slope: starting a home: %w", err)
	}
	defer f.Close()
	home := f.Instances()[0]
	pathOf := func(end string) string { return filepath.Join(dir, end) }
	identity, err := peer.NewIdentity(home.Name, pathOf(home.Name+".pem"), pathOf(home.Name+".key"), pathOf("ca.pem"))
	if err != nil {
		return HomeUsage{}, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	answered := make(chan int, l.Borrowers)
	begin, end := time.Now().Add(settle), time.Now().Add(settle+length)
	for i := range l.Borrowers {
		conn, err := grpc.NewClient("passthrough:///"+home.ControlAddr, grpc.WithTransportCredentials(credentials.NewTLS(identity.ControlConfig("h2"))))
		if err != nil {
			return HomeUsage{}, fmt.Errorf("slope: dialing a home: %w", err)
		}
		// The first lease requests are spread over one interval, as those of a fleet's nodes are.
		first := time.Duration(i) * l.Interval / time.Duration(l.Borrowers)
		wg.Go(func() {
			answered <- borrow(loadCtx, conn, uint64(i+1), first, l.Interval, begin, end)
			_ = conn.Close()
		})
	}
	if err := wait(ctx, time.Until(begin)); err != nil {
		return HomeUsage{}, err
	}
	before, err := f.CPU(home.Name)
	if err != nil {
		return HomeUsage{}, err
	}
	if err := wait(ctx, time.Until(end)); err != nil {
		return HomeUsage{}, err
	}
	after, err := f.CPU(home.Name)
	if err != nil {
		return HomeUsage{}, err
	}
	rss, err := f.RSS(home.Name)
	if err != nil {
		return HomeUsage{}, err
	}
	stop()
	u := HomeUsage{Load: l, CPU: (after - before).Seconds() / length.Seconds(), RSS: float64(rss) / 1e6}
	for range l.Borrowers {
		u.LeaseRequests += float64(<-answered) / length.Seconds()
	}
	return u, nil
}

// borrow sends lease requests until ctx ends and returns how many were answered between begin and end.
func borrow(ctx context.Context, conn *grpc.ClientConn, session uint64, delay, interval time.Duration, begin, end time.Time) int {
	client := accountrpc.Client{Conn: func(string) (grpc.ClientConnInterface, error) { return conn, nil }}
	if wait(ctx, delay) != nil {
		return 0
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	count := 0
	for seq := uint64(1); ; seq++ {
		_, err := client.Send(ctx, "home", account.LeaseRequest{Session: session, Seq: seq, Rows: []account.LeaseRequestRow{{Account: "lombardia", Requested: 2, Waiting: 1}}})
		if now := time.Now(); err == nil && now.After(begin) && now.Before(end) {
			count++
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return count
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return count
		}
	}
}

// HomeHeader names the columns of HomeUsage.Line.
const HomeHeader = "borrowers takes_s       cpu   rss"

// Line formats the figures in the columns of HomeHeader.
func (u HomeUsage) Line() string {
	return fmt.Sprintf("%9d %7.0f %9.5f %5.1f", u.Load.Borrowers, u.LeaseRequests, u.CPU, u.RSS)
}
