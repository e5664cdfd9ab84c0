package config

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/account"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// ServicePrefix begins the keys of the service documents.
const ServicePrefix = "config/services/"

// entry is the newest document of a key, with the active declaration of its service or the accounts of its group.
type entry struct {
	document Document
	// service is the declaration that is active, or nil: that of the last document that could be read, unsupported if this build does
	// not understand it. serviceRevision is the revision of that document, deletions included.
	service         *declaration.Service
	serviceRevision int64
	// supported is the last declaration that was understood, nil if there is none since the last deletion.
	supported *declaration.Service
	// placed is the last declaration since supported that was not understood but of which all routes are known, nil if there is none.
	placed *declaration.Service
	// accounts are those of a valid document of a group of accounts, nil otherwise.
	accounts *account.Group
	// err is the validation error of document, nil if it is valid.
	err error
}

// replaceDocument sets the newest document.
func (e *entry) replaceDocument(document Document) {
	previous := e.document
	e.document = document
	if strings.HasPrefix(document.Key, AccountPrefix) {
		e.replaceAccounts(previous)
		return
	}
	e.err = nil
	if name, ok := serviceName(document.Key); ok {
		e.replaceService(name)
	}
}

// replaceAccounts decodes the newest document of a group of accounts. If it is invalid, no accounts stay active: a key that was
// withdrawn must not stay in use. A document with the same value as the previous one is not decoded again.
func (e *entry) replaceAccounts(previous Document) {
	if e.document.Deleted {
		e.accounts, e.err = nil, nil
		return
	}
	if previous.Key != "" && !previous.Deleted && bytes.Equal(previous.Value, e.document.Value) {
		return
	}
	e.accounts, e.err = decodeAccounts(e.document.Key, e.document.Value, e.accounts)
}

// replaceService decodes the newest document of a service. If it is damaged, the last one stays active. If it is readable and not
// understood, it refuses routes of earlier ones together with its own (withEarlierRoutes).
func (e *entry) replaceService(name model.ServiceName) {
	document := e.document
	if document.Deleted {
		e.service, e.supported, e.placed = nil, nil, nil
		e.serviceRevision = document.Revision
		return
	}
	service, err := decode(name, document.Value)
	if err != nil {
		e.err = err
		return
	}
	e.service = e.withEarlierRoutes(service)
	e.serviceRevision = document.Revision
}

// withEarlierRoutes returns the service, with the routes of earlier declarations if it is not understood: those of the last one that
// was, and if its own routes are not all known, those of the last one of which they are. No others are kept, so that their number is
// bounded.
func (e *entry) withEarlierRoutes(service *declaration.Service) *declaration.Service {
	if service.Unsupported == "" {
		e.supported, e.placed = service, nil
		return service
	}
	refused := *service
	refused.RefuseRoutesOf(e.supported)
	if service.RoutesUnknown {
		refused.RefuseRoutesOf(e.placed)
	} else {
		e.placed = service
	}
	return &refused
}

// decode returns the declaration of the document under the key of the service. A document whose name cannot be read declares the
// service of its key.
func decode(name model.ServiceName, value []byte) (*declaration.Service, error) {
	if name == "" {
		return nil, errors.New("the key names no service")
	}
	service, err := declaration.DecodeStored(value)
	if err != nil {
		return nil, err
	}
	if service.Name == "" {
		service.Name = name
	}
	if service.Name != name {
		return nil, errors.Errorf("the document under the key of %s declares service %s", name, service.Name)
	}
	return service, nil
}

func serviceName(key string) (model.ServiceName, bool) {
	name, ok := strings.CutPrefix(key, ServicePrefix)
	return model.ServiceName(name), ok
}

func (e *entry) rejection() Rejection {
	rejection := Rejection{Key: e.document.Key, Revision: e.document.Revision, Err: e.err}
	if e.service != nil {
		rejection.ActiveRevision = e.serviceRevision
	}
	return rejection
}
