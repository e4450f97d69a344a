#pragma once

#include "../Base/Error.h"
#include "FleetState.h"

#include <log.pb.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift {

// Judgement of the fold on one record.
struct Verdict {
    ResultCode code = ResultCode::Ok; // Ok: accepted
    std::string figures; // numbers that the verdict rests on, for the audit trail
};

// A record after its fold, with what was decided about it.
struct FoldedRecord {
    Offset offset = 0;
    uint32_t place = 0; // within the batch
    proto::Record record;
    Verdict verdict;
};

// Deterministic state machine over the log: equal prefixes give equal states, verdicts and snapshots.
class Fold {
public:
    Fold();
    ~Fold();
    Fold(const Fold&);
    Fold(Fold&&) noexcept;
    Fold& operator=(const Fold&);
    Fold& operator=(Fold&&) noexcept;

    // Folds one log entry. The offset must be the next one; LogGap otherwise, and the state is unchanged.
    // A payload that is no RecordBatch is folded as one refused record (InvalidRecord), equally everywhere.
    Result<std::vector<FoldedRecord>> apply(Offset, std::string_view payload);

    const FleetState& state() const;

    // Last folded offset.
    Offset offset() const;

    // Canonical bytes of the state: equal for equal prefixes.
    std::string snapshot() const;
    static Result<Fold> fromSnapshot(std::string_view bytes);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace shallotdrift
