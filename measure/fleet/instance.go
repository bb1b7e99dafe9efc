package fleet

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"verbenapin.dev/measure/deployment"
)

// Listener ports; they are the same for all instances, which differ by their IP addresses.
const (
	portCaller        = 8000
	portPeer          = 8001
	portControl       = 8002
	portAdmin         = 8003
	portTarget        = 9000
	portTargetAdmin   = 9001
	portPlatform      = 7000
	portPlatformAdmin = 7001
)

// relayOffset is added to the third byte of a relay's address, so that relays and instances don't share addresses.
const relayOffset = 100

// Instance describes a node and its target.
type Instance struct {
	Name            string
	Domain          string
	Service         deployment.Service
	CallerAddr      string
	PeerAddr        string
	ControlAddr     string
	AdminAddr       string
	TargetAddr      string
	targetAdminAddr string
}

// PlanInstances returns the instances of a deployment on 127.base.0.0/16, with each service's targets spread over the failure domains.
func PlanInstances(d deployment.Deployment, base int) []Instance {
	count := map[string]int{}
	var instances []Instance
	next := 0
	for _, s := range d.Services() {
		for range s.Targets {
			domain := deployment.Domains[next%len(deployment.Domains)]
			next++
			count[domain]++
			ip := fmt.Sprintf("127.%d.%d.%d", base, domainIndex(domain)+1, count[domain])
			instances = append(instances, Instance{
				Name: domain + strconv.Itoa(count[domain]), Domain: domain, Service: s,
				CallerAddr: join(ip, portCaller), PeerAddr: join(ip, portPeer), ControlAddr: join(ip, portControl), AdminAddr: join(ip, portAdmin),
				TargetAddr: join(ip, portTarget), targetAdminAddr: join(ip, portTargetAdmin),
			})
		}
	}
	return instances
}

func domainIndex(domain string) int { return slices.Index(deployment.Domains, domain) }

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// relayAddr returns the address of a relay to the instance with the given index.
// The source is the index of a failure domain, or the number of domains for the clients.
func relayAddr(base, source, index, port int) string {
	return join(fmt.Sprintf("127.%d.%d.%d", base, relayOffset+source, index+1), port)
}
