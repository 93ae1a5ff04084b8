package placement

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of orders.
var (
	// ErrRefused means that the engine answered that it did not take the order.
	ErrRefused = errors.New("placement: engine refused the order")
	// ErrNotSent means that the engine could not be reached. It did not get the order.
	ErrNotSent = errors.New("placement: engine not reached")
	// ErrUncertain means that the answer was lost. The engine may have taken the order, or may still do so.
	ErrUncertain = errors.New("placement: outcome of the order is uncertain")
)

const (
	engineTimeout  = time.Second
	dialTimeout    = 500 * time.Millisecond
	maxAnswerBytes = 1 << 20
)

// wireOrder is the body of POST /v1/orders.
type wireOrder struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Engines talks to engines by their HTTP API.
type Engines struct {
	reads *fasthttp.Client
	// orders opens a connection for each order: the end of a reused one would leave the outcome open.
	orders *fasthttp.Client
}

// NewEngines returns a client.
func NewEngines() *Engines {
	client := func() *fasthttp.Client {
		return &fasthttp.Client{
			MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1, Dial: dial,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		}
	}
	return &Engines{reads: client(), orders: client()}
}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// Status reads an engine's models and load.
func (e *Engines) Status(address string) (Status, error) {
	var status Status
	if err := e.get("http://"+address+"/v1/status", &status); err != nil {
		return Status{}, err
	}
	var load struct {
		Running int `json:"running"`
		Queued  int `json:"queued"`
	}
	if err := e.get("http://"+address+"/v1/load", &load); err != nil {
		return Status{}, err
	}
	status.Load = load.Running + load.Queued
	return status, nil
}

func (e *Engines) get(uri string, into any) error {
	code, body, err := e.reads.GetTimeout(nil, uri, engineTimeout)
	if err != nil {
		return fmt.Errorf("placement: read %s: %w", uri, err)
	}
	if code != http.StatusOK {
		return fmt.Errorf("placement: read %s: status %d", uri, code)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("placement: decode answer of %s: %w", uri, err)
	}
	return nil
}

// Load orders an engine to have the model. The weights are read after the answer; the status shows the end.
func (e *Engines) Load(address string, order Order, fencing uint64) error {
	return e.order(address, wireOrder{Kind: "load", Model: order.Model, Version: order.Version, Fencing: fencing})
}

// Introduce makes the fencing number known by an order that changes nothing.
func (e *Engines) Introduce(address, role string, fencing uint64) error {
	return e.order(address, wireOrder{Kind: "role", Role: role, Fencing: fencing})
}

func (e *Engines) order(address string, order wireOrder) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("placement: encode order: %w", err)
	}
	request.SetRequestURI("http://" + address + "/v1/orders")
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetConnectionClose()
	request.SetBody(body)
	switch err := e.orders.DoTimeout(request, response, engineTimeout); {
	case errors.Is(err, ErrNotSent):
		return err
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	case response.StatusCode() != http.StatusOK:
		return fmt.Errorf("%w: status %d: %s", ErrRefused, response.StatusCode(), response.Body())
	}
	return nil
}
