#include "ReplyPrinter.h"

#include "../Base/ResultCode.h"
#include "../Base/Time.h"
#include "TextTable.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ostream>
#include <string_view>

namespace shallotdrift::internal {

struct NextAction {
    ResultCode code;
    std::string_view text;
};

// Hints for the operator after a refusal.
static constexpr std::array<NextAction, 12> nextActions { {
    { ResultCode::NotReady,
        "repeat the command with the same --change_id, which applies a change at most once, or contact another entry "
        "instance with --entries" },
    { ResultCode::StaleEpoch, "read the current version or state, then decide again" },
    { ResultCode::Conflict,
        "run explain instance to see which wave or drain includes the instance; wait for that wave or drain, or abort "
        "it" },
    { ResultCode::BudgetExceeded,
        "wait for operations in progress, or select fewer instances or another pool; status shows the pools" },
    { ResultCode::NotFound, "look up the name with status or handbook list" },
    { ResultCode::NotReviewed, "have another operator run handbook review for the newest version" },
    { ResultCode::SameAuthorAndReviewer, "have another operator review the version" },
    { ResultCode::WrongState, "run explain to see the state of the subject" },
    { ResultCode::InvalidHandbook,
        "correct the errors listed above; check-config checks the file without an entry instance" },
    { ResultCode::InvalidCommand, "correct the command; help lists all commands" },
    { ResultCode::NotAuthorized,
        "give --operator_name, or a client certificate signed by the authority that the entry instances trust" },
    { ResultCode::EntryUnreachable,
        "try other entry instances with --entries=IP:PORT,...; the fleet keeps running meanwhile" },
} };

void printResult(unsigned resultCode, std::ostream& output)
{
    auto code = resultCodeFromNumber(resultCode).value_or(ResultCode::Internal);
    output << fmt::format(
        "result {} {}: {}\n", resultCode, resultCodeInfo(code).name, resultCodeInfo(code).description);
    auto nextAction = std::find_if(
        nextActions.begin(), nextActions.end(), [&](const NextAction& action) { return action.code == code; });
    if (nextAction != nextActions.end())
        output << "next: " << nextAction->text << "\n";
}

static std::string resultText(uint32_t number)
{
    auto code = resultCodeFromNumber(number).value_or(ResultCode::Internal);
    return number ? fmt::format("{} {}", number, resultCodeInfo(code).name) : "ok";
}

static std::string timeText(int64_t unixMilliseconds)
{
    // UTC, since operators of one fleet may work in different time zones.
    auto seconds = static_cast<std::time_t>(unixMilliseconds / 1000);
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", utc);
}

static std::string orDash(const std::string& text) { return text.empty() ? "-" : text; }

// Returns the message of a step, or an empty string for an accepted step whose message starts with "accepted": status
// shows the same figures.
static std::string noteOf(const proto::Step& step)
{
    static constexpr std::string_view accepted = "accepted";
    bool plain = !step.result_code() && step.message().compare(0, accepted.size(), accepted) == 0;
    return plain ? std::string() : step.message();
}

static void printSteps(const google::protobuf::RepeatedPtrField<proto::Step>& steps, std::ostream& output)
{
    TextTable table({ "RESULT", "STEP", "ID" });
    for (const auto& step : steps)
        table.addRow({ resultText(step.result_code()), step.action(), orDash(step.id()) }, noteOf(step));
    if (!table.empty())
        table.print(output);
}

static void printAuditEvents(const google::protobuf::RepeatedPtrField<proto::AuditLine>& events, std::ostream& output)
{
    TextTable table({ "TIME", "CHANGE", "OPERATOR", "ACTION", "RESULT" });
    for (const auto& event : events)
        table.addRow({ timeText(event.written_ms()), event.change_id(), event.actor(), event.action(),
                         resultText(event.result_code()) },
            event.reason());
    if (!table.empty())
        table.print(output);
}

void printReply(const proto::ChangeReply& reply, std::ostream& output)
{
    output << fmt::format(
        "change {}: {}\n", withoutControlCharacters(reply.change_id()), withoutControlCharacters(reply.message()));
    printSteps(reply.steps(), output);
}

static void printPools(const proto::StatusReply& reply, std::ostream& output)
{
    TextTable table(
        { "POOL", "INSTANCES", "OUT OF SERVICE", "DESIRED", "MINIMUM", "CORES ALLOCATED", "CORES WAITING", "" });
    for (const auto& pool : reply.pools())
        table.addRow({ pool.pool(), std::to_string(pool.instances()), std::to_string(pool.out_of_service()),
            std::to_string(pool.wanted()), std::to_string(pool.least()), fmt::format("{:.0f}", pool.held_cores()),
            fmt::format("{:.0f}", pool.waiting_cores()),
            pool.standby()                        ? "switched off"
                : pool.instances() < pool.least() ? "BELOW MINIMUM"
                                                  : "" });
    table.print(output);
}

static void printOperations(const proto::StatusReply& reply, std::ostream& output)
{
    TextTable loans({ "LOAN", "FROM", "TO", "COUNT" });
    for (const auto& loan : reply.loans())
        loans.addRow({ loan.change_id(), orDash(loan.from_pool()), loan.to_pool(), std::to_string(loan.count()) });
    if (!loans.empty())
        loans.print(output);
    TextTable waves({ "WAVE", "STATE", "PENDING", "DONE" });
    for (const auto& wave : reply.waves())
        waves.addRow({ wave.wave_id(), wave.status(), std::to_string(wave.pending()), std::to_string(wave.done()) });
    if (waves.empty())
        output << "no waves or drains\n";
    else
        waves.print(output);
}

// Prints the message of a failed reply, which contains nothing else. Returns whether the reply failed.
template <typename Reply> static bool printFailure(const Reply& reply, std::ostream& output)
{
    if (reply.result_code() != 0)
        output << withoutControlCharacters(reply.message()) << "\n";
    return reply.result_code() != 0;
}

void printReply(const proto::StatusReply& reply, std::ostream& output)
{
    if (printFailure(reply, output))
        return;
    output << fmt::format("fleet managed by {}, configuration version {}\n", withoutControlCharacters(reply.manager()),
        reply.configuration_version());
    printPools(reply, output);
    printOperations(reply, output);
}

void printReply(const proto::ExplainReply& reply, std::ostream& output)
{
    if (!reply.message().empty())
        output << withoutControlCharacters(reply.message()) << "\n";
    for (const auto& fact : reply.facts())
        output << "- " << withoutControlCharacters(fact) << "\n";
    printAuditEvents(reply.events(), output);
}

void printReply(const proto::AuditReply& reply, std::ostream& output)
{
    if (printFailure(reply, output))
        return;
    printAuditEvents(reply.events(), output);
    if (!reply.events_size())
        output << "no events\n";
}

static std::string handbookState(const proto::HandbookEntry& entry)
{
    if (!entry.approved_version())
        return "not approved";
    return entry.approved_version() == entry.version()
        ? "approved"
        : fmt::format("version {} approved, {} not approved", entry.approved_version(), entry.version());
}

void printReply(const proto::ListHandbookReply& reply, std::ostream& output)
{
    if (printFailure(reply, output))
        return;
    TextTable table({ "NAME", "VERSION", "STATE", "AUTHOR", "REVIEWER" });
    for (const auto& entry : reply.entries())
        table.addRow({ entry.name(), std::to_string(entry.version()), handbookState(entry), entry.author(),
            orDash(entry.reviewer()) });
    if (table.empty())
        output << "the handbook has no entries\n";
    else
        table.print(output);
}

void printReply(const proto::HandbookEntry& entry, std::ostream& output)
{
    if (printFailure(entry, output))
        return;
    output << fmt::format("; handbook entry {} version {} by {}: {}\n", withoutControlCharacters(entry.name()),
        entry.version(), withoutControlCharacters(entry.author()), handbookState(entry));
    output << withoutControlCharacters(entry.ini()) << "\n";
    if (entry.approved_version() && entry.approved_version() != entry.version())
        output << fmt::format("; approved version {}, which invoke executes:\n", entry.approved_version())
               << withoutControlCharacters(entry.approved_ini()) << "\n";
}

void printReply(const proto::RehearseReply& reply, std::ostream& output)
{
    output << withoutControlCharacters(reply.message()) << "\n";
    printSteps(reply.steps(), output);
    TextTable table({ "POOL", "MINIMUM", "INSTANCES NOW", "THEN", "" });
    for (const auto& budget : reply.budgets())
        table.addRow({ budget.pool(), std::to_string(budget.least()), std::to_string(budget.instances_before()),
            std::to_string(budget.instances_after()),
            budget.instances_before() == budget.instances_after() ? "" : "changes" });
    if (!table.empty())
        table.print(output);
}

} // namespace shallotdrift::internal
