package peers

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/greengagewing/greengagewing/internal/cluster/configage"
)

const configPath = "/peer/v1/config"

// maxConfigBytes is the maximum size of an answer with a configuration. One with 2,000 queues and 2,000 teams has less than 2 MB.
const maxConfigBytes = 8 << 20

// RegisterConfig adds the route by which other hosts ask for this host's copy of the configuration.
func RegisterConfig(e *gin.Engine, answer func(configage.Question) configage.Answer) {
	e.POST(configPath, func(c *gin.Context) {
		if q, ok := decodeRequest[configage.Question](c); ok {
			c.PureJSON(http.StatusOK, answer(q))
		}
	})
}

// AskConfig asks a host for its copy of the configuration.
func (c *Client) AskConfig(ctx context.Context, addr string, q configage.Question) (configage.Answer, error) {
	var a configage.Answer
	err := c.callUpTo(ctx, addr, configPath, q, &a, maxConfigBytes)
	return a, err
}
