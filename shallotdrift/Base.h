// Base module: result codes, errors, clocks, the log and digests.
#pragma once

#include "src/Base/Error.h"
#include "src/Base/Hash.h"
#include "src/Base/Logging.h"
#include "src/Base/ResultCode.h"
#include "src/Base/Time.h"
