#pragma once

#include "FleetState.h"

#include <map>
#include <set>
#include <string>

namespace shallotdrift::internal {

// Sequences of one writer's boot that were folded.
struct WriterWindow {
    uint64_t highest = 0;
    std::set<uint64_t> missing; // below highest, not yet folded
    WallTime writtenAt {}; // last stamped time
    Offset lastOffset = 0;
    bool replaced = false; // a newer boot of the same entry has joined
};

// Detects records that were appended more than once. A record is never taken twice; a record that arrives more than
// maximumMissingSequences out of order may be dropped. Windows of former boots are kept for late copies, the least
// recently used are forgotten.
class WriterWindows {
public:
    using Boots = std::map<uint64_t, WriterWindow>;
    using Members = std::map<std::string, EntryMember>;

    // Notes the record. Returns false when it was folded before.
    bool admit(const std::string& writer, uint64_t boot, uint64_t sequence, WallTime writtenAt, Offset, const Members&);

    const WriterWindow* find(const std::string& writer, uint64_t boot) const;
    void markReplaced(const std::string& writer, uint64_t boot);

    const std::map<std::string, Boots>& all() const { return writers_; }
    size_t size() const { return size_; }
    // For loading a snapshot. Returns false when the window exists already.
    bool insert(const std::string& writer, uint64_t boot, WriterWindow);

private:
    WriterWindow& windowOf(const std::string& writer, uint64_t boot, const Members&);
    void forgetOldest(const Members&);

    std::map<std::string, Boots> writers_;
    size_t size_ = 0;
};

} // namespace shallotdrift::internal
