// Callers module: HTTP/1.1 server for callers on standalone Asio.
#pragma once

#include "src/Callers/CallerServer.h"
