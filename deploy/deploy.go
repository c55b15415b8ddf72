// Package deploy embeds the declarations of the example deployments, for the demo
// and for tests.
package deploy

import "embed"

// Files contains one directory of declarations for each deployment.
//
//go:embed derwent/*.toml mekong/*.toml
var Files embed.FS
