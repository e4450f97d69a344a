// Jobs module: the decisions of the owner of a service. Jobs and their durable form, the leases of workers, placing.
#pragma once

#include "src/Jobs/Job.h"
#include "src/Jobs/JobDescription.h"
#include "src/Jobs/JobTypes.h"
#include "src/Jobs/ServiceScheduler.h"
#include "src/Jobs/WorkerLease.h"
