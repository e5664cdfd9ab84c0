package config

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// ServicePrefix begins the keys of the service documents.
const ServicePrefix = "config/services/"

// entry is the newest document of a key, with what is in force for it.
type entry struct {
	document Document
	// service is the last good declaration, nil if there is none; good is its revision.
	service *declaration.Service
	good    int64
	// err says why document is not in force.
	err error
}

// accept replaces the document. A bad one leaves the last good declaration in force.
func (e *entry) accept(document Document) {
	e.document = document
	e.err = nil
	name, ok := serviceName(document.Key)
	if !ok {
		return
	}
	if document.Deleted {
		e.service = nil
		e.good = document.Revision
		return
	}
	service, err := decode(name, document.Value)
	if err != nil {
		e.err = err
		return
	}
	e.service = service
	e.good = document.Revision
}

func decode(name model.ServiceName, value []byte) (*declaration.Service, error) {
	service, err := declaration.Decode(value)
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
		rejection.InForce = e.good
	}
	return rejection
}
