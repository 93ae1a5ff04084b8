package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// workerVariable is set in the environment of this test binary when it runs as an endpoint's process.
const workerVariable = "UPSTREAM_TEST_WORKER"

// TestWorkerProcess isn't a test: it is the endpoint's process of the tests below. It sends a part of an answer without a length and
// waits for its end.
func TestWorkerProcess(t *testing.T) {
	if os.Getenv(workerVariable) == "" {
		t.Skip("runs only as a process of another test")
	}
	const listenerDescriptor = 3
	listener, err := net.FileListener(os.NewFile(listenerDescriptor, "listener"))
	must.NoError(t, err)
	conn, err := listener.Accept()
	must.NoError(t, err)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	must.NoError(t, err)
	readBody(r)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", idHeader, r.Header.Get(idHeader))
	time.Sleep(time.Minute) // The process is killed before.
}

// answerOfKilledProcess sends a request to a process that is killed while it answers, and returns the error of reading the answer.
func answerOfKilledProcess(t *testing.T) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	file, err := listener.(*net.TCPListener).File()
	must.NoError(t, err)
	worker := exec.Command(os.Args[0], "-test.run", "^TestWorkerProcess$")
	worker.Env, worker.ExtraFiles = append(os.Environ(), workerVariable+"=1"), []*os.File{file}
	must.NoError(t, worker.Start())
	must.NoError(t, file.Close())
	must.NoError(t, listener.Close())
	r, err := NewClient().Send(context.Background(), newTestCall(listener.Addr().String(), "1"))
	must.NoError(t, err)
	defer r.Body.Close()
	part := make([]byte, len("part"))
	_, err = io.ReadFull(r.Body, part)
	must.NoError(t, err)
	must.NoError(t, worker.Process.Kill())
	_, err = io.ReadAll(r.Body)
	_ = worker.Wait() // It was killed, which is the error that Wait reports.
	return err
}

// Guards against a part of an answer that counts as whole after the endpoint's process was killed.
func TestAnswerOfKilledProcessIsNotComplete(t *testing.T) {
	for range 20 {
		must.ErrorIs(t, answerOfKilledProcess(t), io.ErrUnexpectedEOF)
	}
}
