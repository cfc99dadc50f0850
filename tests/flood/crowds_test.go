package flood

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
)

// headTo returns a request header without its last lines to a path.
func headTo(path string) string { return strings.Replace(patientHead, "/x/1", path, 1) }

// wholeBody returns a request with a body.
func wholeBody(head string, size int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat("x", size))
}

// extended is a chunk of one byte with an extension and the line end after it.
var extended = "1;name=" + strings.Repeat("v", 500) + "\r\nx\r\n"

// Guards against the same as the specs of bodies, where bodies meet what else takes memory.
var _ = Describe("a node", func() {
	DescribeTable("withstands chunks with extensions:", func(send caller) {
		p := startNode(maxDescriptors)
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	},
		Entry("and stop short of the end", sendsTimes(patientHead+chunkedBody, extended, 20)),
		Entry("without end", repeats(patientHead+chunkedBody, extended)),
		Entry("after large chunks", repeats(patientHead+chunkedBody+chunk(64<<10), extended)),
	)

	wholeBodies := []TableEntry{
		Entry("a service that is gone", sends(wholeBody(headTo("/gone/1"), ordinaryBody))),
		Entry("a service that is gone, and return", returns(sends(wholeBody(headTo("/gone/1"), ordinaryBody)))),
		Entry("a service that is gone, large ones, and return", returns(sends(wholeBody(headTo("/gone/1"), bodyLimit/2)))),
		Entry("a silent service", sends(wholeBody(headTo("/silent/1"), ordinaryBody))),
		Entry("a silent service, and return", returns(sends(wholeBody(headTo("/silent/1"), ordinaryBody)))),
		Entry("a silent service, large ones, and return", returns(sends(wholeBody(headTo("/silent/1"), bodyLimit/2)))),
		Entry("a service that answers, large ones, and return", returns(sends(wholeBody(headTo("/x/1"), bodyLimit/2)))),
		Entry("no service, large ones, and return", returns(sends(wholeBody(headTo("/none/1"), bodyLimit/2)))),
	}

	DescribeTable("withstands whole bodies for", func(send caller) {
		p := startNode(maxDescriptors)
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	}, wholeBodies)

	DescribeTable("with little processor time withstands whole bodies for", func(send caller) {
		p := startSlowNode()
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	}, wholeBodies)

	DescribeTable("withstands crowds at two ports at once:", func(second int, atFront, atSecond caller) {
		p := startNode(maxDescriptors)
		p.bodies = posts(p.ports[0])
		p.withstandsAll([]port{p.ports[0], p.ports[second]}, atFront, atSecond)
	},
		Entry("bodies, and headers of short lines at the directory", 2,
			sendsTimes(patientHead+chunkedBody, chunk(64<<10), 3), sends("GET / HTTP/1.1\r\nHost: h\r\n"+shortLines())),
		Entry("bodies, and messages of which the end is missing", 4,
			sendsTimes(patientHead+chunkedBody, chunk(64<<10), 3), caller(unendedMessage)),
		Entry("long headers and parts of bodies, and messages of which the end is missing", 4,
			returns(longHeadBodies["a long header and a part of a body"]), caller(unendedMessage)),
		Entry("all ways, and messages of which the end is missing", 4,
			returns(everyWay(patientHead)), caller(unendedMessage)),
	)

	// The memory of the smallest VM is 144 MB.
	DescribeTable("withstands crowds with little memory:", func(memory int, send caller) {
		p := startNodeBy(maxDescriptors, memory, "")
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	},
		Entry("60 MB, large chunks, and stop short of the end", 60, sendsTimes(patientHead+chunkedBody, chunk(64<<10), 3)),
		Entry("60 MB, a body announced far over the limit", 60, repeats(patientHead+"Content-Length: 4294967296\r\n\r\n", "x")),
		Entry("60 MB, a long header and a part of a body", 60, longHeadBodies["a long header and a part of a body"]),
		Entry("60 MB, all ways, and return", 60, returns(everyWay(patientHead))),
		Entry("40 MB, large chunks, and stop short of the end", 40, sendsTimes(patientHead+chunkedBody, chunk(64<<10), 3)),
		Entry("40 MB, a body announced far over the limit", 40, repeats(patientHead+"Content-Length: 4294967296\r\n\r\n", "x")),
		Entry("40 MB, a long header and a part of a body", 40, longHeadBodies["a long header and a part of a body"]),
		Entry("40 MB, all ways, and return", 40, returns(everyWay(patientHead))),
	)
})
