package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"connectrpc.com/connect"
	"github.com/apex/log"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// keyBytes is the length of the random part of a key, before encoding.
const keyBytes = 24

// NewKey returns a random key and the hash under which it is stored.
func NewKey() (text, hash string) {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:])
	text = "ls_" + base64.RawURLEncoding.EncodeToString(random[:])
	return text, HashKey(text)
}

// HashKey returns the SHA-256 hash of a key in hex.
func HashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// GetObject implements AdminService. It reads from the platform, so that the revision can be used for a change.
func (s *Server) GetObject(ctx context.Context, req *connect.Request[adminv1.GetObjectRequest]) (*connect.Response[adminv1.GetObjectResponse], error) {
	entry, err := s.writer.Get(ctx, config.KeyOf(config.Kind(req.Msg.GetKind()), req.Msg.GetName()))
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&adminv1.GetObjectResponse{Object: objectOf(entry)}), nil
}

// ListObjects implements AdminService. It returns the objects of this router's copy of the configuration.
func (s *Server) ListObjects(_ context.Context, req *connect.Request[adminv1.ListObjectsRequest]) (*connect.Response[adminv1.ListObjectsResponse], error) {
	response := &adminv1.ListObjectsResponse{}
	for _, e := range s.deps.Config.List(config.KeyOf(config.Kind(req.Msg.GetKind()), "")) {
		response.Objects = append(response.Objects, objectOf(e))
	}
	return connect.NewResponse(response), nil
}

// PutObject implements AdminService.
func (s *Server) PutObject(ctx context.Context, req *connect.Request[adminv1.PutObjectRequest]) (*connect.Response[adminv1.PutObjectResponse], error) {
	object := req.Msg.GetObject()
	value, err := config.Check(config.Kind(object.GetKind()), object.GetName(), object.GetValue())
	if err != nil {
		return nil, toConnectError(err)
	}
	entry, err := s.writer.Put(ctx, config.KeyOf(config.Kind(object.GetKind()), object.GetName()), value, object.GetRevision())
	s.logChange("put", object.GetKind(), object.GetName(), entry.Revision, err)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&adminv1.PutObjectResponse{Object: objectOf(entry)}), nil
}

// DeleteObject implements AdminService.
func (s *Server) DeleteObject(ctx context.Context, req *connect.Request[adminv1.DeleteObjectRequest]) (*connect.Response[adminv1.DeleteObjectResponse], error) {
	err := s.writer.Delete(ctx, config.KeyOf(config.Kind(req.Msg.GetKind()), req.Msg.GetName()), req.Msg.GetRevision())
	s.logChange("delete", req.Msg.GetKind(), req.Msg.GetName(), req.Msg.GetRevision(), err)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&adminv1.DeleteObjectResponse{}), nil
}

func (s *Server) logChange(action, kind, name string, revision uint64, err error) {
	entry := s.deps.Log.WithFields(log.Fields{"action": action, "kind": kind, "name": name, "revision": revision})
	if err != nil {
		entry.WithError(err).Warn("configuration change failed")
		return
	}
	entry.Info("configuration changed")
}

func objectOf(e config.Entry) *adminv1.Object {
	kind, name, _ := strings.Cut(strings.TrimPrefix(e.Key, config.Prefix), "/")
	return &adminv1.Object{Kind: kind, Name: name, Revision: e.Revision, Value: e.Value}
}
