package gossiper

// discardLogger is a gnet logger that discards all lines. The gossiper's errors
// and counts reach the node without it.
type discardLogger struct{}

// Debugf implements logging.Logger.
func (discardLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (discardLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (discardLogger) Warnf(string, ...any) {}

// Errorf implements logging.Logger.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf implements logging.Logger.
func (discardLogger) Fatalf(string, ...any) {}
