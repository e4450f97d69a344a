// Operators module: the handler of operators' requests in the fleet manager, the gRPC server, and the command-line
// client.
#pragma once

#include "src/Operators/OperatorBackend.h"
#include "src/Operators/OperatorCommands.h"
#include "src/Operators/OperatorRequestHandler.h"
#include "src/Operators/OperatorServer.h"
