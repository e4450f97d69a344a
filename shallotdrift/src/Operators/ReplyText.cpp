#include "ReplyText.h"

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

// What helps after a refusal.
static constexpr std::array<NextAction, 16> nextActions { {
    { ResultCode::Stopping, "name another entry instance in --entries" },
    { ResultCode::LogUnavailable, "repeat the command with the same --change_id once the platform answers" },
    { ResultCode::NotReady, "name another entry instance in --entries, or wait until this one is ready" },
    { ResultCode::StaleEpoch, "read the current version or state again, then decide anew" },
    { ResultCode::Conflict, "explain the instance or pool to see what holds it; wait for it or abort it" },
    { ResultCode::BudgetExceeded, "wait for work under way to end, or take another pool; status shows the budgets" },
    { ResultCode::NotFound, "check the name against status, handbook list and config show" },
    { ResultCode::NotReviewed, "have another operator run handbook review for the newest version" },
    { ResultCode::SameAuthorAndReviewer, "have another operator review it" },
    { ResultCode::WrongState, "explain the subject to see its state" },
    { ResultCode::FailureDomainBusy, "wait until the work on the other rack ends; status shows it" },
    { ResultCode::InvalidSettings, "repair the lines above; check-config checks the file without an entry instance" },
    { ResultCode::InvalidHandbook, "repair the lines above; check-config checks the file without an entry instance" },
    { ResultCode::InvalidCommand, "correct the command; help lists all commands" },
    { ResultCode::NotAuthorized, "give --operator_name, or a client certificate that the entries' authority signed" },
    { ResultCode::EntryUnreachable,
        "try other entry instances with --entries=IP:PORT,...; they serve on without operators" },
} };

void printResult(unsigned resultCode, std::ostream& output)
{
    auto code = resultCodeFromNumber(resultCode).value_or(ResultCode::Internal);
    output << fmt::format("result {} {}: {}\n", resultCode, infoOf(code).name, infoOf(code).text);
    auto next = std::find_if(
        nextActions.begin(), nextActions.end(), [&](const NextAction& action) { return action.code == code; });
    if (next != nextActions.end())
        output << "next: " << next->text << "\n";
}

static std::string resultText(uint32_t number)
{
    auto code = resultCodeFromNumber(number).value_or(ResultCode::Internal);
    return number ? fmt::format("{} {}", number, infoOf(code).name) : "ok";
}

static std::string timeText(int64_t unixMilliseconds)
{
    // Operators of one fleet sit in several zones of time.
    auto seconds = static_cast<std::time_t>(unixMilliseconds / 1000);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}Z", parts);
}

static std::string orDash(const std::string& text) { return text.empty() ? "-" : text; }

// The figures of an accepted step say nothing that status does not show.
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

static void printEvents(const google::protobuf::RepeatedPtrField<proto::AuditLine>& events, std::ostream& output)
{
    TextTable table({ "TIME", "OFFSET", "WHO", "SUBJECT", "ACTION", "RESULT" });
    for (const auto& event : events) {
        auto separator = event.reason().empty() || event.figures().empty() ? "" : ": ";
        table.addRow({ timeText(event.written_ms()), std::to_string(event.offset()), event.actor(), event.subject(),
                         event.action(), resultText(event.result_code()) },
            event.reason() + separator + event.figures());
    }
    if (!table.empty())
        table.print(output);
}

void printReply(const proto::ChangeReply& reply, std::ostream& output)
{
    output << fmt::format("change {}: {}\n", printableText(reply.change_id()), printableText(reply.message()));
    if (reply.offset())
        output << fmt::format("recorded up to offset {}\n", reply.offset());
    printSteps(reply.steps(), output);
}

static void printPools(const proto::StatusReply& reply, std::ostream& output)
{
    TextTable table(
        { "POOL", "INSTANCES", "AVAILABLE", "MINIMUM", "ABOVE", "LENT IN", "LENT OUT", "QUEUED", "RUNNING", "" });
    for (const auto& pool : reply.pools()) {
        auto above = pool.available() > pool.minimum() ? pool.available() - pool.minimum() : 0;
        table.addRow({ pool.pool(), std::to_string(pool.instances()), std::to_string(pool.available()),
            std::to_string(pool.minimum()), std::to_string(above), std::to_string(pool.lent_in()),
            std::to_string(pool.lent_out()), std::to_string(pool.queued()), std::to_string(pool.running()),
            pool.available() < pool.minimum() ? "BELOW MINIMUM" : "" });
    }
    table.print(output);
}

static void printOperations(const proto::StatusReply& reply, std::ostream& output)
{
    TextTable moves({ "MOVE", "INSTANCE", "FROM", "TO", "STATE", "WAITS FOR" });
    for (const auto& move : reply.moves())
        moves.addRow({ move.move_id(), move.instance(), move.from_pool(), move.to_pool(), move.status(),
            move.waiting_for_size() ? fmt::format("{}", fmt::join(move.waiting_for(), ", ")) : "platform" });
    if (moves.empty())
        output << "no moves under way\n";
    else
        moves.print(output);
    TextTable waves({ "WAVE", "STATE", "PENDING", "UNDER WAY", "DONE", "GIVEN UP" });
    for (const auto& wave : reply.waves())
        waves.addRow({ wave.wave_id(), wave.status(), std::to_string(wave.pending()), std::to_string(wave.active()),
            std::to_string(wave.done()), std::to_string(wave.given_up()) });
    if (waves.empty())
        output << "no waves or drains under way\n";
    else
        waves.print(output);
}

void printReply(const proto::StatusReply& reply, std::ostream& output)
{
    output << fmt::format("entry {} in zone {}: {}, platform {}, configuration version {}, offset {}\n",
        printableText(reply.entry()), printableText(reply.zone()), reply.ready() ? "ready" : "NOT READY",
        reply.platform_reachable() ? "reachable" : "NOT REACHABLE: no changes, moves, new tasks or keyed work",
        reply.configuration_version(), reply.folded_offset());
    printPools(reply, output);
    TextTable entries({ "ENTRY", "ZONE", "LAST HEARD", "OFFSET" });
    for (const auto& entry : reply.entries())
        entries.addRow({ entry.entry(), entry.zone(),
            entry.last_heard_ms() < 0 ? "never"
                                      : fmt::format("{:.1f} s ago", static_cast<double>(entry.last_heard_ms()) / 1000),
            std::to_string(entry.folded_offset()) });
    entries.print(output);
    printOperations(reply, output);
}

void printReply(const proto::ExplainReply& reply, std::ostream& output)
{
    if (!reply.message().empty())
        output << printableText(reply.message()) << "\n";
    for (const auto& fact : reply.facts())
        output << "- " << printableText(fact) << "\n";
    printEvents(reply.events(), output);
}

void printReply(const proto::AuditReply& reply, std::ostream& output)
{
    printEvents(reply.events(), output);
    if (!reply.events_size())
        output << "no events\n";
}

static std::string handbookState(const proto::HandbookEntry& entry)
{
    if (!entry.approved_version())
        return "not approved";
    return entry.approved_version() == entry.version()
        ? "approved"
        : fmt::format("version {} approved, {} waits for review", entry.approved_version(), entry.version());
}

void printReply(const proto::ListHandbookReply& reply, std::ostream& output)
{
    TextTable table({ "NAME", "VERSION", "STATE", "AUTHOR", "REVIEWER" });
    for (const auto& entry : reply.entries())
        table.addRow({ entry.name(), std::to_string(entry.version()), handbookState(entry), entry.author(),
            orDash(entry.reviewer()) });
    if (table.empty())
        output << "the handbook is empty\n";
    else
        table.print(output);
}

void printReply(const proto::HandbookEntry& entry, std::ostream& output)
{
    if (entry.result_code()) {
        output << printableText(entry.message()) << "\n";
        return;
    }
    output << fmt::format("; handbook entry {} version {} by {}: {}\n", printableText(entry.name()), entry.version(),
        printableText(entry.author()), handbookState(entry));
    output << printableText(entry.ini()) << "\n";
    if (entry.approved_version() && entry.approved_version() != entry.version())
        output << fmt::format("; approved version {}, which invoke runs:\n", entry.approved_version())
               << printableText(entry.approved_ini()) << "\n";
}

void printReply(const proto::RehearseReply& reply, std::ostream& output)
{
    output << printableText(reply.message()) << "\n";
    printSteps(reply.steps(), output);
    TextTable table({ "POOL", "MINIMUM", "AVAILABLE NOW", "THEN", "" });
    for (const auto& budget : reply.budgets())
        table.addRow({ budget.pool(), std::to_string(budget.minimum()), std::to_string(budget.available_before()),
            std::to_string(budget.available_after()),
            budget.available_before() == budget.available_after() ? "" : "changes" });
    if (!table.empty())
        table.print(output);
}

void printReply(const proto::ConfigurationReply& reply, std::ostream& output)
{
    output << fmt::format("; configuration version {} by {}, reviewed by {}\n", reply.version(),
        orDash(printableText(reply.author())), orDash(printableText(reply.reviewer())));
    output << printableText(reply.ini()) << "\n";
}

} // namespace shallotdrift::internal
