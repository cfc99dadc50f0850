package flood

import (
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/settings"
)

func get(addr netip.AddrPort, path string) *http.Request {
	r, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+path, nil)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func gets(addr netip.AddrPort, path string, status int) port {
	return port{addr, func() *http.Request { return get(addr, path) }, status}
}

// startFleet starts the stand-in of the platform.
func startFleet(ctx SpecContext) *fleet.Fleet {
	f := fleet.New(programs, GinkgoT().TempDir())
	DeferCleanup(f.Close)
	_, err := f.StartPlatform(ctx, struct{}{})
	Expect(err).NotTo(HaveOccurred())
	return f
}

// startGateway and startController start a process with the memory limit of the specs. Their
// ordinary requests need no configuration.
func startGateway(ctx SpecContext) *process {
	n, err := startFleet(ctx).StartGateway(ctx, "gateway", func(s *settings.Gateway) { s.MemoryMB = memoryMB })
	Expect(err).NotTo(HaveOccurred())
	return processOf(n, "/v1/entry", http.StatusOK)
}

func startController(ctx SpecContext) *process {
	n, err := startFleet(ctx).StartController(ctx, "controller", func(s *settings.Controller) { s.MemoryMB = memoryMB })
	Expect(err).NotTo(HaveOccurred())
	return processOf(n, "/v1/objects", http.StatusUnauthorized)
}

func processOf(n *fleet.Node, path string, status int) *process {
	return &process{n.Process, []port{
		gets(n.Addr, path, status),
		gets(n.Admin, "/healthz", http.StatusOK),
		{addr: n.Peer},
	}, maxDescriptors, memoryMB, port{}}
}

// Guards the processes of the own interface against the same as a node.
var _ = Describe("a gateway", func() {
	DescribeTable("withstands callers that send", func(ctx SpecContext, send caller) {
		p := startGateway(ctx)
		p.withstands(p.ports[0], send)
	}, heads,
		Entry("a part of a body", sends("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")))

	DescribeTable("withstands callers at its other ports that send", func(ctx SpecContext, send caller) {
		p := startGateway(ctx)
		for _, at := range p.ports[1:] {
			p.withstands(at, send)
		}
	}, heads)
})

// Guards against callers that are refused while others hold all connections that the settings
// allow, and send nothing.
var _ = Describe("a gateway with a limit of connections", func() {
	It("serves ordinary callers while others send nothing", func(ctx SpecContext) {
		n, err := startFleet(ctx).StartGateway(ctx, "gateway", func(s *settings.Gateway) {
			s.MemoryMB, s.MaxConnections = memoryMB, fewDescriptors
			s.HeaderTimeout = 2 * hangTimeout // does not end the others' connections
		})
		Expect(err).NotTo(HaveOccurred())
		p := processOf(n, "/v1/entry", http.StatusOK)
		p.withstands(p.ports[0], sends(""))
	})
})

var _ = Describe("a controller", func() {
	DescribeTable("withstands callers at its ports that send", func(ctx SpecContext, send caller) {
		p := startController(ctx)
		for _, at := range p.ports {
			p.withstands(at, send)
		}
	}, heads)
})
