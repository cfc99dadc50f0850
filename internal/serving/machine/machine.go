// Package machine describes the VM that a process runs on and the bounds that
// the platform's operators have set for it.
package machine

import (
	"net/netip"
	"time"
)

// Settings are what the platform tells a process at its start.
type Settings struct {
	// Name names the VM, IP is its address, DataCentre where it is.
	Name       string
	IP         netip.Addr
	DataCentre string
	// Front takes callers' requests, Ready the platform's health checks and
	// Directory the callers' questions for addresses.
	Front, Ready, Directory netip.AddrPort
	// Peer is where other VMs of this system connect, Admin where metrics
	// and the state dump are served.
	Peer, Admin netip.AddrPort
	// Seeds are peer addresses of other VMs; they may be out of date.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryBytes limits the process.
	MemoryBytes int64
	// Bounds are the figures that the operators hold the system to.
	Bounds Bounds
}

// Bounds are the operators' figures.
type Bounds struct {
	// Grace is the time from SIGTERM to the kill.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeated sends: a share of
	// the requests of a pool in a window, and a number besides.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// RateWindow, RateOverage and RateSlack bound what a customer may
	// exceed its rate by in a window.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
	// OrderGap is the least time between orders of two VMs to one engine.
	OrderGap time.Duration
	// AnswerTTL is the longest time that callers keep directory answers.
	AnswerTTL time.Duration
}
