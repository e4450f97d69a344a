// Targets module: HTTP/1.1 client to target instances on standalone Asio.
#pragma once

#include "src/Targets/TargetClient.h"
