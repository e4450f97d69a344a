#include "WriterWindows.h"

#include "FoldLimits.h"

#include <algorithm>
#include <utility>

namespace shallotdrift::internal {

// Notes the sequence in the window. The part of a gap that exceeds the limit counts as folded.
static bool take(WriterWindow& window, uint64_t sequence)
{
    if (sequence <= window.highest)
        return window.missing.erase(sequence) > 0;
    uint64_t first = window.highest + 1;
    if (sequence - first > maximumMissingSequences)
        first = sequence - maximumMissingSequences;
    for (uint64_t skipped = first; skipped < sequence; ++skipped)
        window.missing.insert(window.missing.end(), skipped);
    while (window.missing.size() > maximumMissingSequences)
        window.missing.erase(window.missing.begin());
    window.highest = sequence;
    return true;
}

bool WriterWindows::admit(const std::string& writer, uint64_t boot, uint64_t sequence, WallTime writtenAt,
    Offset offset, const Members& members)
{
    auto& window = windowOf(writer, boot, members);
    if (!take(window, sequence))
        return false;
    window.writtenAt = writtenAt;
    window.lastOffset = offset;
    return true;
}

const WriterWindow* WriterWindows::find(const std::string& writer, uint64_t boot) const
{
    auto boots = writers_.find(writer);
    if (boots == writers_.end())
        return nullptr;
    auto window = boots->second.find(boot);
    return window == boots->second.end() ? nullptr : &window->second;
}

void WriterWindows::markReplaced(const std::string& writer, uint64_t boot)
{
    auto boots = writers_.find(writer);
    if (boots == writers_.end())
        return;
    if (auto window = boots->second.find(boot); window != boots->second.end())
        window->second.replaced = true;
}

bool WriterWindows::insert(const std::string& writer, uint64_t boot, WriterWindow window)
{
    bool added = writers_[writer].emplace(boot, std::move(window)).second;
    size_ += added ? 1 : 0;
    return added;
}

WriterWindow& WriterWindows::windowOf(const std::string& writer, uint64_t boot, const Members& members)
{
    if (auto boots = writers_.find(writer); boots != writers_.end()) {
        if (auto window = boots->second.find(boot); window != boots->second.end())
            return window->second;
    }
    if (size_ >= maximumWriterWindows)
        forgetOldest(members);
    ++size_;
    return writers_[writer][boot];
}

void WriterWindows::forgetOldest(const Members& members)
{
    const std::string* oldestWriter = nullptr;
    uint64_t oldestBoot = 0;
    Offset oldestOffset = 0;
    for (const auto& [writer, boots] : writers_) {
        auto member = members.find(writer);
        for (const auto& [boot, window] : boots) {
            bool current = member != members.end() && member->second.boot == boot;
            if (current || (oldestWriter && window.lastOffset >= oldestOffset))
                continue;
            oldestWriter = &writer;
            oldestBoot = boot;
            oldestOffset = window.lastOffset;
        }
    }
    if (!oldestWriter)
        return;
    auto boots = writers_.find(*oldestWriter);
    boots->second.erase(oldestBoot);
    --size_;
    if (boots->second.empty())
        writers_.erase(boots);
}

} // namespace shallotdrift::internal
