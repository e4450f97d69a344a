// Operators module: the gRPC service for operators and the commands that call it.
#pragma once

#include "src/Operators/OperatorCommands.h"
#include "src/Operators/OperatorHandler.h"
#include "src/Operators/OperatorServer.h"
