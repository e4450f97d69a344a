#include "Scheduler.h"

#include "SchedulerImplementation.h"

namespace shallotdrift {

Scheduler::Scheduler(SchedulerOptions options)
    : implementation_(std::make_unique<Implementation>(std::move(options)))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::setConfiguration(const FleetConfiguration& configuration, Instant now)
{
    implementation_->setConfiguration(configuration, now);
}

void Scheduler::setInstances(const std::vector<UsableInstance>& instances, Instant now, SchedulerEffects& effects)
{
    implementation_->setInstances(instances, now, effects);
}

void Scheduler::setPeerDemand(const std::map<std::string, double>& slotsByPool, uint32_t liveEntries, Instant now)
{
    implementation_->setPeerDemand(slotsByPool, liveEntries, now);
}

void Scheduler::submit(const WorkRequest& request, Instant now, SchedulerEffects& effects)
{
    implementation_->submit(request, now, effects);
}

void Scheduler::report(const AttemptReport& report, Instant now, SchedulerEffects& effects)
{
    implementation_->report(report, now, effects);
}

void Scheduler::cancel(uint64_t request, Instant now, SchedulerEffects& effects)
{
    implementation_->cancel(request, now, effects);
}

void Scheduler::tick(Instant now, SchedulerEffects& effects) { implementation_->tick(now, effects); }

std::vector<PoolLoad> Scheduler::load(Instant now) const { return implementation_->load(now); }

} // namespace shallotdrift
