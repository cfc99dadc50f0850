//go:build tools

// Package tools keeps the modules of the programs that scripts/test runs in
// go.mod.
package tools

import _ "github.com/onsi/ginkgo/v2/ginkgo"
