// Operators module: the desk that decides on operators' changes, the gRPC service, and the commands that call it.
#pragma once

#include "src/Operators/OperatorBackend.h"
#include "src/Operators/OperatorCommands.h"
#include "src/Operators/OperatorRequestHandler.h"
#include "src/Operators/OperatorServer.h"
