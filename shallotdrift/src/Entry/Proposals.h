#pragma once

#include "../Fold/Fold.h"
#include "CoreContext.h"

#include <functional>
#include <map>
#include <string>

namespace shallotdrift {

// Records of this process between append and fold. Nothing is acted on before the verdict is known.
class Proposals {
public:
    using VerdictHandler = std::function<void(const FoldedRecord&)>;

    explicit Proposals(CoreContext& context)
        : context_(context)
    {
    }

    // False: the writer's ring is full and the record was not taken.
    bool propose(proto::Record, const std::string& reason, VerdictHandler = {});
    // As propose, but keeps the record's actor and reason.
    bool proposeAs(proto::Record, VerdictHandler);
    // Calls the handler of the record if this process wrote it.
    void folded(const FoldedRecord&);
    size_t pending() const { return handlers_.size(); }

private:
    CoreContext& context_;
    std::map<uint64_t, VerdictHandler> handlers_; // by sequence
};

} // namespace shallotdrift
