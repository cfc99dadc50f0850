// Package machine holds the platform's settings for the VM on which a process runs.
package machine

import (
	"net/netip"
	"time"

	"fireflypier.example/fireflypier/internal/processmemory"
)

// Settings are the settings that a process reads from the platform at startup.
type Settings struct {
	// Name is the VM's name, IP its address, DataCentre its data centre.
	Name       string
	IP         netip.Addr
	DataCentre string
	// Regions has the data centres that the settings list, with their regions; empty if
	// they list none.
	Regions map[string]string
	// Front is the listen address for callers' requests, Ready that for the
	// platform's health checks and Directory that for callers' address lookups.
	Front, Ready, Directory netip.AddrPort
	// Peer is the listen address for other VMs of this system, Admin that for
	// metrics and the state dump.
	Peer, Admin netip.AddrPort
	// Seeds are peer addresses of other VMs; they may be outdated.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Capacity is the VM's processor time, in thousandths of a core; zero if the
	// settings do not tell.
	Capacity int64
	// Memory is the memory limit of the process.
	Memory processmemory.Limit
	// Descriptors is the number of files that the process may open, zero if the settings do
	// not tell.
	Descriptors int64
	// Bounds are the limits set by the operators.
	Bounds Bounds
	// Warnings tells of values that are not usable and count as missing.
	Warnings []string
}

// Bounds are the limits and durations that the platform's operators set and the
// system must observe.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit retries: within RetryWindow, to
	// the fraction RetryRatio of a pool's requests plus the number RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// RateWindow, RateOverage and RateSlack limit by how much a customer may exceed
	// its rate within RateWindow.
	RateWindow  time.Duration
	RateOverage float64
	RateSlack   float64
	// LoadWindow and LoadOverage limit the loads from the weight store: within
	// LoadWindow, to LoadOverage times what the store's rate allows.
	LoadWindow  time.Duration
	LoadOverage float64
	// OrderGap is the minimum time between orders of two VMs to one engine.
	OrderGap time.Duration
	// AnswerTTL is the maximum time for which callers cache directory answers.
	AnswerTTL time.Duration
	// ChangeLag is the time within which changes in the store must take effect on
	// every VM; zero if it is not set.
	ChangeLag time.Duration
	// EvacuationLag is the time from the store's acknowledgement of an evacuation, after
	// which no request may reach a target of the data centre; zero if data centres are
	// not evacuated.
	EvacuationLag time.Duration
	// ColdOverage and ColdSlack bound the requests that reach a cold target within a
	// second: to ColdOverage times its rate plus the number ColdSlack. With an overage of
	// zero, cold targets are treated like others.
	ColdOverage float64
	ColdSlack   float64
}
