// Command standin runs one stand-in of the platform: the log service, the host
// list, a model engine, a store host or an endpoint of a plain service.
//
// # Usage
//
//	standin log --listen 127.0.0.1:7001
package main

import "github.com/lacewingrelay/lacewingrelay/internal/standin/launcher"

func main() { launcher.Main() }
