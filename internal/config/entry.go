package config

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// ServicePrefix begins the keys of the service documents.
const ServicePrefix = "config/services/"

// AccountPrefix begins the keys of the documents of account groups.
const AccountPrefix = "config/accounts/"

// AccountKey returns the key of the document of a group of accounts (declaration.GroupOf).
func AccountKey(group int) string { return AccountPrefix + strconv.Itoa(group) }

// entry is the newest document of a key, with the active declaration of its service.
type entry struct {
	document Document
	// service is the last valid declaration, which is active, or nil. serviceRevision is the revision of the last valid
	// document, deletions included.
	service         *declaration.Service
	serviceRevision int64
	// err is the validation error of document, nil if it is valid.
	err error
}

// replaceDocument sets the newest document. If it is invalid, the last valid declaration stays active.
func (e *entry) replaceDocument(document Document) {
	e.document = document
	e.err = nil
	name, ok := serviceName(document.Key)
	if !ok {
		return
	}
	if document.Deleted {
		e.service = nil
		e.serviceRevision = document.Revision
		return
	}
	service, err := decode(name, document.Value)
	if err != nil {
		e.err = err
		return
	}
	e.service = service
	e.serviceRevision = document.Revision
}

func decode(name model.ServiceName, value []byte) (*declaration.Service, error) {
	service, err := declaration.DecodeStored(value)
	if err != nil {
		return nil, err
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
