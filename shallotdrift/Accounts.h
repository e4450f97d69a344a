// Accounts module: client accounts, their keys, and the quotas that bound what each may have running on all workers.
#pragma once

#include "src/Accounts/AccountKeys.h"
#include "src/Accounts/ClientAccount.h"
#include "src/Accounts/QuotaAllocator.h"
#include "src/Accounts/QuotaLedger.h"
#include "src/Accounts/ShareMeter.h"
