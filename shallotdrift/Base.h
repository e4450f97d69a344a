// Base module: result codes, errors, clocks, logging and hashes.
#pragma once

#include "src/Base/Error.h"
#include "src/Base/Hash.h"
#include "src/Base/Logging.h"
#include "src/Base/Resources.h"
#include "src/Base/ResultCode.h"
#include "src/Base/Time.h"
