package examples

import "embed"

// Files holds the directories kingston and kathmandu, each with declarations and settings.
//
//go:embed kingston kathmandu
var Files embed.FS
