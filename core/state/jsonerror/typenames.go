package jsonerror

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// WithTypeNames applies names to the text of an error of encoding/json that names Go types, and returns other errors as
// they are. Clients receive these texts, which must not change when a package or type is renamed.
func WithTypeNames(err error, names *strings.Replacer) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errors.New(names.Replace(err.Error()))
	}
	return err
}
