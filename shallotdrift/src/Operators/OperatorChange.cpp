#include "OperatorChange.h"

#include "../Settings/ValueForm.h"

namespace shallotdrift::internal {

// Limit of Record.reason in proto/log.proto.
static constexpr size_t maximumReasonBytes = 256;

static bool isUtf8Continuation(char c) { return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U; }

std::string reasonPrefix(const std::string& changeId) { return "[" + changeId + "]"; }

proto::Record OperatorChange::record() const
{
    proto::Record record;
    record.set_actor("operator:" + operatorName);
    std::string text = reasonPrefix(id) + (reason.empty() ? "" : " " + reason);
    if (text.size() > maximumReasonBytes) {
        size_t length = maximumReasonBytes;
        while (isUtf8Continuation(text[length]))
            --length;
        text.resize(length);
    }
    record.set_reason(text);
    return record;
}

Result<OperatorChange> checkChange(const proto::Change& change)
{
    // Ids of moves and waves are the change id, a dot and a number; a dot within change ids would make them ambiguous.
    if (!isName(change.change_id()) || change.change_id().find('.') != std::string::npos)
        return fail(
            ResultCode::InvalidCommand, "the change id has to be " + ValueForm::name().allowed() + ", without dots");
    if (!isName(change.operator_name()))
        return fail(ResultCode::NotAuthorized, "the operator's name has to be " + ValueForm::name().allowed());
    return OperatorChange { change.change_id(), change.operator_name(), change.reason() };
}

} // namespace shallotdrift::internal
