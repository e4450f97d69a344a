#include "Names.h"
#include "RecordHandlers.h"

#include <fmt/format.h>

namespace shallotdrift::internal {

bool writtenBy(const proto::Record& record, const std::string& entry, uint64_t boot)
{
    return record.id().writer() == entry && record.id().boot() == boot;
}

// Keys whose owner has ended: nobody can tell any more whether their work ran.
static void endKeysOf(FoldData& data, const EntryMember& member)
{
    for (auto& [name, key] : data.state.keys) {
        if (key.status == KeyStatus::Intended && key.owner == member.id && key.ownerBoot == member.boot)
            key.status = KeyStatus::Unknown;
    }
}

static void removeMember(FoldData& data, const std::string& entry, Offset offset)
{
    auto member = data.state.entries.find(entry);
    endKeysOf(data, member->second);
    data.state.entries.erase(member);
    data.memberStamps.erase(entry);
    dropPendingGate(data, entry, offset);
}

static Verdict checkJoin(const FoldData& data, const proto::EntryJoined& join, const proto::Record& record)
{
    if (!isValidName(join.zone()) || !isShortText(join.peer_address()) || !writtenBy(record, join.entry(), join.boot()))
        return refused(ResultCode::InvalidRecord, "an entry joins by its own record, with a zone");
    const auto* window = data.writers.find(join.entry(), join.boot());
    if (window && window->replaced)
        return refused(ResultCode::StaleEpoch, "a newer boot of the entry has joined");
    auto known = data.state.entries.find(join.entry());
    bool isMember = known != data.state.entries.end();
    if (isMember && known->second.boot == join.boot() && known->second.zone != join.zone())
        return refused(ResultCode::Conflict, "the boot has joined in zone " + known->second.zone);
    if (!isMember && data.state.entries.size() >= maximumEntries)
        return refused(ResultCode::TooLarge, fmt::format("{} entries are members", maximumEntries));
    return accepted();
}

// A new boot replaces the former one: an instance runs one process, so the former process has ended. Acknowledgements
// that were expected of the entry stay expected, now of the new boot. Dropping them would close instances while other
// zones still send under view leases that the former boot granted; the new boot can wait until those have lapsed.
Verdict foldEntryJoined(FoldData& data, const RecordContext& context)
{
    const auto& join = context.record.entry_joined();
    if (auto verdict = checkJoin(data, join, context.record); verdict.code != ResultCode::Ok)
        return verdict;
    auto known = data.state.entries.find(join.entry());
    bool replaces = known != data.state.entries.end() && known->second.boot != join.boot();
    if (replaces) {
        endKeysOf(data, known->second);
        data.writers.markReplaced(join.entry(), known->second.boot);
    }
    data.state.entries[join.entry()] = EntryMember { join.entry(), join.boot(), join.zone(), join.peer_address() };
    data.memberStamps[join.entry()] = wallTimeFromUnix(Milliseconds(context.record.written_ms()));
    advanceFoldTime(data);
    return accepted(fmt::format("{} members{}", data.state.entries.size(), replaces ? ", replaces a former boot" : ""));
}

static Verdict checkMember(const FoldData& data, const std::string& entry, uint64_t boot)
{
    auto member = data.state.entries.find(entry);
    if (member == data.state.entries.end())
        return refused(ResultCode::NotFound, "the entry is no member");
    if (member->second.boot != boot)
        return refused(ResultCode::StaleEpoch, "another boot of the entry is the member");
    return accepted();
}

Verdict foldEntryLeft(FoldData& data, const RecordContext& context)
{
    const auto& left = context.record.entry_left();
    if (!writtenBy(context.record, left.entry(), left.boot()))
        return refused(ResultCode::InvalidRecord, "an entry leaves by its own record");
    auto verdict = checkMember(data, left.entry(), left.boot());
    if (verdict.code == ResultCode::Ok)
        removeMember(data, left.entry(), context.offset);
    return verdict;
}

Verdict foldEntryRemoved(FoldData& data, const RecordContext& context)
{
    const auto& removed = context.record.entry_removed();
    if (removed.evidence() != proto::EntryRemoved::GONE_FROM_LIST
        && removed.evidence() != proto::EntryRemoved::CONFIRMED_BY_OPERATOR)
        return refused(ResultCode::InvalidRecord, "no evidence that the process has stopped");
    auto verdict = checkMember(data, removed.entry(), removed.boot());
    if (verdict.code == ResultCode::Ok)
        removeMember(data, removed.entry(), context.offset);
    return verdict;
}

} // namespace shallotdrift::internal
