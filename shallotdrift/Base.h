// Base module: result codes, errors, clocks, logging and digests.
#pragma once

#include "src/Base/Digest.h"
#include "src/Base/Error.h"
#include "src/Base/Logging.h"
#include "src/Base/ResultCode.h"
#include "src/Base/Time.h"
