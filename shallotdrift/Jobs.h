// Jobs module: the scheduler of a service, jobs and their stored form, worker leases, and the placement of tasks.
#pragma once

#include "src/Jobs/Job.h"
#include "src/Jobs/JobDescription.h"
#include "src/Jobs/JobRecords.h"
#include "src/Jobs/JobTypes.h"
#include "src/Jobs/RunLedger.h"
#include "src/Jobs/ServiceScheduler.h"
#include "src/Jobs/Worker.h"
#include "src/Jobs/WorkerLease.h"
