#include "FoldTrial.h"

#include "../Fold/RecordHandlers.h"

namespace shallotdrift::internal {

// Keys, tasks and the audit trail are large and no rule of planned work reads them.
FoldTrial::FoldTrial(const FleetState& state)
    : data_(std::make_unique<FoldData>())
{
    auto& copy = data_->state;
    copy.configurationVersion = state.configurationVersion;
    copy.configuration = state.configuration;
    copy.entries = state.entries;
    copy.instances = state.instances;
    copy.moves = state.moves;
    copy.waves = state.waves;
    copy.foldTime = state.foldTime;
}

FoldTrial::~FoldTrial() = default;
FoldTrial::FoldTrial(FoldTrial&&) noexcept = default;
FoldTrial& FoldTrial::operator=(FoldTrial&&) noexcept = default;

const FleetState& FoldTrial::state() const { return data_->state; }

Verdict FoldTrial::apply(const proto::Record& record)
{
    const auto* handler = handlerOf(record.body_case());
    if (!handler)
        return { ResultCode::InvalidRecord, "unknown type of record" };
    return handler->fold(*data_, { ++data_->offset, 0, record });
}

} // namespace shallotdrift::internal
