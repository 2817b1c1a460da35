package records

import (
	"testing"

	"github.com/greengagewing/greengagewing/internal/tabletest"
)

func TestMain(m *testing.M) { tabletest.MainWithChecks(m, 300) }
