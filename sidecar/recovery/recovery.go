package recovery

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// Handle logs the panic of the function that defers it, if there is one, and calls then, which sets the result. The name
// of the part begins the line.
func Handle(l *slog.Logger, part string, then func()) {
	v := recover()
	if v == nil {
		return
	}
	l.Error(part+": a request ended in a panic", "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
	then()
}
