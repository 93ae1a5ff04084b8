package cli

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/run"
)

// Intervals at which progress is printed. A terminal shows one line that is overwritten, other outputs get a new line
// each time.
const (
	terminalInterval = 500 * time.Millisecond
	plainInterval    = 5 * time.Second
)

// showProgress prints the progress of the run in the background until the returned function is called, which waits for
// the last output.
func showProgress(w io.Writer, runner *run.Runner) func() {
	terminal := isTerminal(w)
	interval := plainInterval
	if terminal {
		interval = terminalInterval
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				if terminal {
					fmt.Fprint(w, "\r\x1b[K")
				}
				return
			case <-ticker.C:
				line := progressLine(runner.Progress())
				if terminal {
					fmt.Fprintf(w, "\r\x1b[K%s", line)
				} else {
					fmt.Fprintln(w, line)
				}
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(stop)
		<-stopped
	})
}

func progressLine(p run.Progress) string {
	return fmt.Sprintf("%5.1f s  sent %d  open %d  done %d  not run %d  unknown %d  %s", p.Elapsed.Seconds(), p.Sent, p.InFlight,
		p.Outcomes["done"], p.Outcomes["not_run"], p.Outcomes["unknown"], p.LastFault)
}
