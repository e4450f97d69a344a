// Platform module: clients of the platform's log, instance list and task calls.
#pragma once

#include "src/Platform/LogReader.h"
#include "src/Platform/LogWriter.h"
#include "src/Platform/PlatformClient.h"
