// Command check2 holds the stand-ins and the checks of the cases of a review. Its argument names the case. It exits with 1
// if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// check runs a case with or without its disruption, and returns what broke the rule, if anything did.
type check func(f *fleet, isTroubled bool) (broken []string, err error)

var checks = map[string]check{
	"prefix": checkPrefix,
	"memory": checkMemory,
	"drain":  checkDrain,
	"link":   checkLink,
	"quota":  checkQuota,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 2 || checks[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: check2 CASE")
		return 2
	}
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	r := &record{out: out, began: time.Now()}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	broken, err := checks[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		r.line("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
