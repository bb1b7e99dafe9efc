package fleet

import (
	"fmt"
	"net"
	"slices"
	"strconv"

	"verbenapin.dev/measure/deployment"
)

// Ports of the listeners of an instance; its address tells instances apart.
const (
	portCaller      = 8000
	portPeer        = 8001
	portControl     = 8002
	portAdmin       = 8003
	portTarget      = 9000
	portTargetAdmin = 9001
	portPlatform    = 7000
	portSwitches    = 7001
)

// relayOffset tells relays from instances in the third byte of an address.
const relayOffset = 100

// Instance is one instance: a node and its target.
type Instance struct {
	Name        string
	Domain      string
	Service     deployment.Service
	CallerAddr  string
	PeerAddr    string
	ControlAddr string
	AdminAddr   string
	TargetAddr  string
	targetA     string
}

// PlanInstances returns the instances of a deployment on 127.base.0.0/16; the targets of each service are spread over the failure domains.
func PlanInstances(d deployment.Deployment, base int) []Instance {
	count := map[string]int{}
	var nodes []Instance
	next := 0
	for _, s := range d.Services() {
		for range s.Targets {
			domain := deployment.Domains[next%len(deployment.Domains)]
			next++
			count[domain]++
			ip := fmt.Sprintf("127.%d.%d.%d", base, domainIndex(domain)+1, count[domain])
			nodes = append(nodes, Instance{
				Name: domain + strconv.Itoa(count[domain]), Domain: domain, Service: s,
				CallerAddr: join(ip, portCaller), PeerAddr: join(ip, portPeer), ControlAddr: join(ip, portControl), AdminAddr: join(ip, portAdmin),
				TargetAddr: join(ip, portTarget), targetA: join(ip, portTargetAdmin),
			})
		}
	}
	return nodes
}

func domainIndex(domain string) int { return slices.Index(deployment.Domains, domain) }

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// relayed returns the address of the relay from a source, a failure domain or the clients, to an instance.
func relayed(base, source, n, port int) string {
	return join(fmt.Sprintf("127.%d.%d.%d", base, relayOffset+source, n+1), port)
}
