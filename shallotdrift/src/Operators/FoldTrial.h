#pragma once

#include "../Fold/Fold.h"

#include <memory>

namespace shallotdrift::internal {

struct FoldData;

// Copy of the parts of the state that planned work rests on, to which records can be applied by the rules of the fold.
class FoldTrial {
public:
    explicit FoldTrial(const FleetState&);
    ~FoldTrial();
    FoldTrial(FoldTrial&&) noexcept;
    FoldTrial& operator=(FoldTrial&&) noexcept;

    const FleetState& state() const;
    // Applies a record, as the log would bring it next.
    Verdict apply(const proto::Record&);

private:
    std::unique_ptr<FoldData> data_;
};

} // namespace shallotdrift::internal
