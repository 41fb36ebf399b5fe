package operator

import (
	_ "github.com/pkg/errors"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
