package main

import (
	"os"

	"siskinspar.example/cmd/command"
)

func main() { os.Exit(command.Execute(os.Args, os.Stdout, os.Stderr)) }
