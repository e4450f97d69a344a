#include "Proposals.h"

namespace shallotdrift {

// Reasons can quote the platform's answers. Text that is no UTF-8 would make the whole batch unreadable to the fold,
// and it refuses long reasons.
static std::string printable(const std::string& text)
{
    static constexpr size_t maximumReasonBytes = 256;
    std::string result = text.substr(0, maximumReasonBytes);
    for (char& character : result) {
        if (character < ' ' || character > '~')
            character = '?';
    }
    return result;
}

bool Proposals::propose(proto::Record record, const std::string& reason, VerdictHandler handler)
{
    record.set_actor(context_.actor());
    record.set_reason(printable(reason));
    return proposeAs(std::move(record), std::move(handler));
}

bool Proposals::proposeAs(proto::Record record, VerdictHandler handler)
{
    uint64_t sequence = context_.outputs.append(std::move(record));
    if (!sequence)
        return false;
    if (handler)
        handlers_.emplace(sequence, std::move(handler));
    return true;
}

void Proposals::folded(const FoldedRecord& folded)
{
    const auto& id = folded.record.id();
    if (id.writer() != context_.settings.id || id.boot() != context_.boot)
        return;
    auto position = handlers_.find(id.sequence());
    if (position == handlers_.end())
        return;
    auto handler = std::move(position->second);
    handlers_.erase(position);
    handler(folded);
}

} // namespace shallotdrift
