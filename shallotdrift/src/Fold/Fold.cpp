#include "Fold.h"

#include "FoldData.h"
#include "Names.h"
#include "RecordHandlers.h"
#include "SnapshotCodec.h"

#include <fmt/format.h>
#include <utility>

namespace shallotdrift::internal {

static bool isWellFormed(const proto::Record& record)
{
    return isValidName(record.id().writer()) && record.id().sequence() > 0 && record.written_ms() >= 0
        && record.written_ms() <= latestUnixMilliseconds && isShortText(record.actor())
        && record.reason().size() <= maximumReasonBytes;
}

static void stampMember(FoldData& data, const proto::Record& record)
{
    auto member = data.state.entries.find(record.id().writer());
    if (member == data.state.entries.end() || member->second.boot != record.id().boot())
        return;
    data.memberStamps[record.id().writer()] = wallTimeFromUnix(Milliseconds(record.written_ms()));
    advanceFoldTime(data);
}

static bool isAudited(const RecordHandler* handler, const Verdict& verdict)
{
    if (!handler)
        return true;
    if (handler->audit == AuditPolicy::Always)
        return true;
    return handler->audit == AuditPolicy::AcceptedOnly && verdict.code == ResultCode::Ok;
}

static void audit(FoldData& data, const RecordContext& context, const Verdict& verdict)
{
    const auto& record = context.record;
    const auto* handler = handlerOf(record.body_case());
    if (!isAudited(handler, verdict))
        return;
    AuditEvent event;
    event.offset = context.offset;
    event.place = context.place;
    event.writtenAt = wallTimeFromUnix(Milliseconds(record.written_ms()));
    event.actor = record.actor();
    event.subject = handler ? handler->subject(data.state, record) : "log";
    event.action = handler ? handler->action : "record of unknown type";
    event.reason = record.reason();
    event.code = verdict.code;
    event.figures = verdict.figures;
    auto& trail = data.state.audit;
    trail.push_back(std::move(event));
    if (trail.size() > maximumAuditEvents)
        trail.pop_front();
}

// Malformed records and copies leave no trace in the audit trail: neither operators nor entries decided on them.
static Verdict foldRecord(FoldData& data, const RecordContext& context)
{
    const auto& record = context.record;
    if (!isWellFormed(record))
        return refused(ResultCode::InvalidRecord, "identity, time, actor or reason out of range");
    auto writtenAt = wallTimeFromUnix(Milliseconds(record.written_ms()));
    const auto& id = record.id();
    if (!data.writers.admit(id.writer(), id.boot(), id.sequence(), writtenAt, context.offset, data.state.entries))
        return refused(ResultCode::DuplicateRecord, "the record was folded before");
    stampMember(data, record);
    const auto* handler = handlerOf(record.body_case());
    auto verdict
        = handler ? handler->fold(data, context) : refused(ResultCode::InvalidRecord, "unknown type of record");
    verdict.figures = printable(verdict.figures, maximumFiguresBytes);
    audit(data, context, verdict);
    return verdict;
}

static std::vector<FoldedRecord> foldInvalidPayload(Offset offset, size_t size)
{
    std::vector<FoldedRecord> folded(1);
    folded.front().offset = offset;
    folded.front().verdict = refused(ResultCode::InvalidRecord, fmt::format("{} bytes that are no batch", size));
    return folded;
}

static std::vector<FoldedRecord> foldBatch(FoldData& data, Offset offset, proto::RecordBatch& batch)
{
    std::vector<FoldedRecord> folded;
    folded.reserve(static_cast<size_t>(batch.records_size()));
    for (auto& record : *batch.mutable_records()) {
        auto place = static_cast<uint32_t>(folded.size());
        auto verdict = foldRecord(data, { offset, place, record });
        folded.push_back({ offset, place, std::move(record), std::move(verdict) });
    }
    return folded;
}

} // namespace shallotdrift::internal

namespace shallotdrift {

struct Fold::Implementation {
    internal::FoldData data;
};

Fold::Fold()
    : implementation_(std::make_unique<Implementation>())
{
}

Fold::~Fold() = default;

Fold::Fold(const Fold& other)
    : implementation_(std::make_unique<Implementation>(*other.implementation_))
{
}

Fold::Fold(Fold&&) noexcept = default;

Fold& Fold::operator=(const Fold& other)
{
    if (this != &other)
        implementation_ = std::make_unique<Implementation>(*other.implementation_);
    return *this;
}

Fold& Fold::operator=(Fold&&) noexcept = default;

const FleetState& Fold::state() const { return implementation_->data.state; }

Offset Fold::offset() const { return implementation_->data.offset; }

std::string Fold::snapshot() const { return internal::encodeSnapshot(implementation_->data); }

Result<Fold> Fold::fromSnapshot(std::string_view bytes)
{
    BOOST_LEAF_AUTO(data, internal::decodeSnapshot(bytes));
    Fold fold;
    fold.implementation_->data = std::move(data);
    return fold;
}

Result<std::vector<FoldedRecord>> Fold::apply(Offset offset, std::string_view payload)
{
    auto& data = implementation_->data;
    if (offset != data.offset + 1)
        return fail(ResultCode::LogGap, fmt::format("offset {} after {}", offset, data.offset));
    data.offset = offset;
    proto::RecordBatch batch;
    if (payload.size() > internal::maximumPayloadBytes
        || !batch.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return internal::foldInvalidPayload(offset, payload.size());
    return internal::foldBatch(data, offset, batch);
}

} // namespace shallotdrift
