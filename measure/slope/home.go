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

// maxBorrowers bounds the connections that this process opens.
const maxBorrowers = 2000

// HomeLoad is what borrowers ask of one home.
type HomeLoad struct {
	Borrowers int           // each with a connection and a session of its own
	Every     time.Duration // between two Takes of one borrower
}

// HomeUse is what one home used under a load.
type HomeUse struct {
	Load  HomeLoad
	CPU   float64 // cores
	RSS   float64 // MB
	Takes float64 // answered, a second
}

// LoadError reports a load that is not measured.
type LoadError struct{ Load HomeLoad }

func (e LoadError) Error() string {
	return fmt.Sprintf("slope: %d borrowers, a Take each %s: 0 to %d borrowers and at least 10ms are required",
		e.Load.Borrowers, e.Load.Every, maxBorrowers)
}

// MeasureHome connects borrowers to the home of a fleet of three nodes and returns what the home used.
func MeasureHome(ctx context.Context, binary, dir string, l HomeLoad, settle, length time.Duration) (HomeUse, error) {
	if l.Borrowers < 0 || l.Borrowers > maxBorrowers || l.Every < 10*time.Millisecond {
		return HomeUse{}, LoadError{Load: l}
	}
	d := deployment.Abitudini().WithNodes(len(deployment.Domains)).WithFirstHomes(1)
	f, err := fleet.Start(ctx, fleet.Settings{Binary: binary, Dir: dir, Deployment: d, NoClientRelay: true})
	if err != nil {
		return HomeUse{}, fmt.Errorf("slope: starting a home: %w", err)
	}
	defer f.Close()
	home := f.Instances()[0]
	file := func(end string) string { return filepath.Join(dir, end) }
	identity, err := peer.NewIdentity(home.Name, file(home.Name+".pem"), file(home.Name+".key"), file("ca.pem"))
	if err != nil {
		return HomeUse{}, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	var ended sync.WaitGroup
	defer ended.Wait()
	defer stop()
	answered := make(chan int, l.Borrowers)
	begin, end := time.Now().Add(settle), time.Now().Add(settle+length)
	for i := range l.Borrowers {
		conn, err := grpc.NewClient("passthrough:///"+home.ControlAddr, grpc.WithTransportCredentials(credentials.NewTLS(identity.ControlConfig("h2"))))
		if err != nil {
			return HomeUse{}, fmt.Errorf("slope: dialing a home: %w", err)
		}
		// The first Takes are spread over one period, as those of nodes are.
		first := time.Duration(i) * l.Every / time.Duration(l.Borrowers)
		ended.Go(func() {
			answered <- borrow(loadCtx, conn, uint64(i+1), first, l.Every, begin, end)
			_ = conn.Close()
		})
	}
	if err := wait(ctx, time.Until(begin)); err != nil {
		return HomeUse{}, err
	}
	before, err := f.CPU(home.Name)
	if err != nil {
		return HomeUse{}, err
	}
	if err := wait(ctx, time.Until(end)); err != nil {
		return HomeUse{}, err
	}
	after, err := f.CPU(home.Name)
	if err != nil {
		return HomeUse{}, err
	}
	rss, err := f.RSS(home.Name)
	if err != nil {
		return HomeUse{}, err
	}
	stop()
	u := HomeUse{Load: l, CPU: (after - before).Seconds() / length.Seconds(), RSS: float64(rss) / 1e6}
	for range l.Borrowers {
		u.Takes += float64(<-answered) / length.Seconds()
	}
	return u, nil
}

// borrow sends Takes until ctx ends and returns how many were answered between begin and end.
func borrow(ctx context.Context, conn *grpc.ClientConn, session uint64, first, every time.Duration, begin, end time.Time) int {
	client := accountrpc.Client{Conn: func(string) (grpc.ClientConnInterface, error) { return conn, nil }}
	if wait(ctx, first) != nil {
		return 0
	}
	t := time.NewTicker(every)
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

// HomeHeader names the columns of HomeUse.Line.
const HomeHeader = "borrowers takes_s       cpu   rss"

// Line returns the figures in columns.
func (u HomeUse) Line() string {
	return fmt.Sprintf("%9d %7.0f %9.5f %5.1f", u.Load.Borrowers, u.Takes, u.CPU, u.RSS)
}
