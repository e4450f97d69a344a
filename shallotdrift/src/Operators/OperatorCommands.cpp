#include "OperatorCommands.h"

#include "../Settings/SettingsFile.h"
#include "CommandArguments.h"
#include "OperatorClient.h"
#include "ReplyPrinter.h"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <ostream>
#include <random>
#include <sstream>

namespace shallotdrift {

using internal::CommandArguments;
using internal::CommandParameter;
using internal::CommandSyntax;
using internal::ValueFormat;

// Arguments, options and output streams of one command execution.
struct CommandContext {
    const CommandArguments& arguments;
    const OperatorCommandOptions& options;
    std::string changeId;
    std::ostream& output;
    std::ostream& errors;

    void fill(proto::Change& change) const
    {
        change.set_change_id(changeId);
        change.set_operator_name(options.operatorName);
        change.set_reason(options.reason);
    }
};

// The time helps an operator to find the change again; the random part distinguishes ids of the same second.
static std::string newChangeId()
{
    static constexpr unsigned randomRange = 1U << 20;
    std::random_device random;
    return fmt::format("c-{:%Y%m%dT%H%M%S}-{:05x}",
        fmt::gmtime(std::chrono::system_clock::to_time_t(std::chrono::system_clock::now())), random() % randomRange);
}

// Calls an entry instance, prints its reply and returns the reply's result code.
template <typename Request, typename Reply>
static Result<unsigned> callAndPrint(
    const CommandContext& context, internal::OperatorClient::Method<Request, Reply> method, const Request& request)
{
    internal::OperatorClient client(context.options, context.errors);
    BOOST_LEAF_AUTO(reply, client.call(method, request));
    if (context.options.json) {
        google::protobuf::util::JsonPrintOptions options;
        options.add_whitespace = true;
        options.always_print_primitive_fields = true;
        options.preserve_proto_field_names = true;
        std::string text;
        if (!google::protobuf::util::MessageToJsonString(reply, &text, options).ok())
            return fail(ResultCode::Internal, "the reply cannot be converted to JSON");
        context.output << text << "\n";
    } else {
        internal::printReply(reply, context.output);
    }
    return reply.result_code();
}

// Fills in and prints the change id of a request that contains a change, then behaves as callAndPrint.
template <typename Request>
static Result<unsigned> submitChange(const CommandContext& context,
    internal::OperatorClient::Method<Request, proto::ChangeReply> method, Request request)
{
    context.fill(*request.mutable_change());
    // Printed before the call, so that the operator knows the id even if the reply is lost.
    (context.options.json ? context.errors : context.output) << "change id " << context.changeId << "\n" << std::flush;
    return callAndPrint(context, method, request);
}

using Stub = proto::Operator::Stub;

static Result<unsigned> runStatus(const CommandContext& context)
{
    return callAndPrint(context, &Stub::Status, proto::StatusRequest());
}

static Result<unsigned> runExplain(const CommandContext& context)
{
    proto::ExplainRequest request;
    request.set_subject(context.arguments.text("type") + " " + context.arguments.text("name"));
    return callAndPrint(context, &Stub::Explain, request);
}

static Result<unsigned> runAudit(const CommandContext& context)
{
    proto::AuditRequest request;
    request.set_limit(static_cast<uint32_t>(context.arguments.number("limit")));
    request.set_subject(context.arguments.text("subject"));
    return callAndPrint(context, &Stub::Audit, request);
}

static Result<unsigned> runHandbookList(const CommandContext& context)
{
    return callAndPrint(context, &Stub::ListHandbook, proto::ListHandbookRequest());
}

static Result<unsigned> runHandbookShow(const CommandContext& context)
{
    proto::ShowHandbookRequest request;
    request.set_name(context.arguments.text("name"));
    return callAndPrint(context, &Stub::ShowHandbook, request);
}

static Result<unsigned> runHandbookPropose(const CommandContext& context)
{
    proto::ProposeHandbookRequest request;
    request.set_name(context.arguments.text("name"));
    request.set_expected_version(context.arguments.number("expected"));
    BOOST_LEAF_ASSIGN(*request.mutable_ini(), readSettingsFile(context.arguments.text("file")));
    return submitChange(context, &Stub::ProposeHandbook, request);
}

static Result<unsigned> runHandbookReview(const CommandContext& context)
{
    proto::ReviewHandbookRequest request;
    request.set_name(context.arguments.text("name"));
    request.set_version(context.arguments.number("version"));
    request.set_approved(context.arguments.text("decision") == "approve");
    return submitChange(context, &Stub::ReviewHandbook, request);
}

static Result<unsigned> runHandbookRehearse(const CommandContext& context)
{
    proto::RehearseRequest request;
    request.set_name(context.arguments.text("name"));
    request.set_version(context.arguments.number("version"));
    return callAndPrint(context, &Stub::Rehearse, request);
}

static Result<unsigned> runHandbookInvoke(const CommandContext& context)
{
    proto::InvokeRequest request;
    request.set_name(context.arguments.text("name"));
    request.set_version(context.arguments.number("version"));
    return submitChange(context, &Stub::Invoke, request);
}

static Result<unsigned> runLend(const CommandContext& context)
{
    proto::LendRequest request;
    request.set_from_pool(context.arguments.text("from"));
    request.set_to_pool(context.arguments.text("to"));
    request.set_count(static_cast<uint32_t>(context.arguments.number("count")));
    return submitChange(context, &Stub::Lend, request);
}

static Result<unsigned> runReturn(const CommandContext& context)
{
    proto::ReturnLentRequest request;
    request.set_pool(context.arguments.text("pool"));
    return submitChange(context, &Stub::ReturnLent, request);
}

static Result<unsigned> runDrain(const CommandContext& context)
{
    proto::DrainRequest request;
    request.set_zone(context.arguments.text("zone"));
    std::istringstream instances(context.arguments.text("instances"));
    for (std::string instance; std::getline(instances, instance, ',');)
        request.add_instances(instance);
    return submitChange(context, &Stub::Drain, request);
}

static Result<unsigned> runWaveStart(const CommandContext& context)
{
    const auto& arguments = context.arguments;
    bool selects = arguments.has("zone") || arguments.has("pool");
    if (selects == arguments.isYes("all"))
        return fail(ResultCode::InvalidCommand,
            "wave start: expected --zone, --pool or both, or --all=yes for the whole fleet");
    proto::StartWaveRequest request;
    request.set_zone(arguments.text("zone"));
    request.set_pool(arguments.text("pool"));
    request.set_max_parallel(static_cast<uint32_t>(arguments.number("max-parallel")));
    return submitChange(context, &Stub::StartWave, request);
}

static Result<unsigned> changeWave(const CommandContext& context, const char* action)
{
    proto::ChangeWaveRequest request;
    request.set_wave_id(context.arguments.text("wave"));
    request.set_action(action);
    return submitChange(context, &Stub::ChangeWave, request);
}

struct Command {
    CommandSyntax syntax;
    Result<unsigned> (*run)(const CommandContext&);
    std::string_view hint = {}; // printed after an accepted change; {} is replaced by the change id
};

static constexpr std::string_view followChangeHint = "explain change {} shows its progress; status shows the fleet";
static constexpr std::string_view requestReviewHint
    = "another operator has to read the version with handbook show, and approve or reject it with handbook review";

static const std::vector<Command>& commands()
{
    using F = ValueFormat;
    static constexpr double maximumVersion = 1e15;
    static const CommandParameter name { "name", F::name(), true, "name of the handbook entry" };
    static const CommandParameter optionalVersion { "version", F::integer(1, maximumVersion), false,
        "version of the entry; default: the approved version" };
    static const CommandParameter wave { "wave", F::name(), true, "id of the wave or drain" };
    static const std::vector<Command> table {
        { { "status", {}, {}, "show the pools, loans, waves and drains" }, runStatus },
        { { "explain",
              { { "type", F::choice({ "instance", "pool", "wave", "change", "handbook", "job" }), true,
                    "type of the subject" },
                  { "name", F::text(), true, "name or id of the subject; QUEUE/ID for a job" } },
              {}, "show the state of a subject, and the changes that mention it" },
            runExplain },
        { { "audit", {},
              { { "limit", F::integer(1, 2000, "events"), false,
                    "maximum number of events, newest first; default: 50" },
                  { "subject", F::text(), false, "substring of the change id, operator or action" } },
              "show the latest changes, including refused ones" },
            runAudit },
        { { "handbook list", {}, {}, "list the handbook entries" }, runHandbookList },
        { { "handbook show", { name }, {}, "show the text of a handbook entry" }, runHandbookShow },
        { { "handbook propose", { name },
              { { "file", F::path(), true, "file with the text of the entry" },
                  { "expected", F::integer(0, maximumVersion), false,
                      "newest version that you have read; 0 (the default) for a new entry" } },
              "propose a version of a handbook entry for review" },
            runHandbookPropose, requestReviewHint },
        { { "handbook review",
              { name, { "version", F::integer(1, maximumVersion), true, "version that you have read" },
                  { "decision", F::choice({ "approve", "reject" }), true, "approve or reject" } },
              {}, "approve or reject the newest version of a handbook entry; its author may not review it" },
            runHandbookReview },
        { { "handbook rehearse", { name, optionalVersion }, {}, "show what invoke would do now, without doing it" },
            runHandbookRehearse },
        { { "handbook invoke", { name, optionalVersion }, {}, "execute the approved version of a handbook entry" },
            runHandbookInvoke, followChangeHint },
        { { "lend", {},
              { { "to", F::name(), true, "borrowing pool" },
                  { "count", F::integer(1, 1000, "instances"), true, "number of instances to lend" },
                  { "from", F::name(), false, "lending pool; default: any pool, standby pools first" } },
              "lend instances to a pool" },
            runLend, followChangeHint },
        { { "return", {}, { { "pool", F::name(), false, "borrowing pool; default: all pools" } },
              "end the loans to a pool, or all loans" },
            runReturn, followChangeHint },
        { { "drain", {},
              { { "zone", F::name(), false, "zone to drain" },
                  { "instances", F::text(), false, "instances to drain, separated by commas" } },
              "take a zone or instances out of service until the drain is aborted" },
            runDrain, followChangeHint },
        { { "wave start", {},
              { { "zone", F::name(), false, "zone that the wave restarts" },
                  { "pool", F::name(), false, "pool that the wave restarts" },
                  { "all", F::boolean(), false, "yes: restart the whole fleet" },
                  { "max-parallel", F::integer(0, 1000, "instances"), false,
                      "maximum number of instances out of service at once; default: a quarter of the selected "
                      "instances" } },
              "restart instances in batches" },
            runWaveStart, followChangeHint },
        { { "wave pause", { wave }, {}, "pause a wave or drain, so that no further instances start to drain" },
            [](const CommandContext& context) { return changeWave(context, "pause"); } },
        { { "wave resume", { wave }, {}, "continue a paused wave or drain" },
            [](const CommandContext& context) { return changeWave(context, "resume"); } },
        { { "wave abort", { wave }, {}, "end a wave or drain; drained instances return to service" },
            [](const CommandContext& context) { return changeWave(context, "abort"); } },
    };
    return table;
}

// Number of words in a command's name, for example 2 for "handbook list".
static size_t wordCount(std::string_view name)
{
    return 1 + static_cast<size_t>(std::count(name.begin(), name.end(), ' '));
}

static const Command* findCommand(const std::vector<std::string>& commandLine)
{
    for (const auto& command : commands()) {
        std::string name;
        for (size_t i = 0; i < std::min(commandLine.size(), wordCount(command.syntax.name)); ++i)
            name += (i ? " " : "") + commandLine[i];
        if (name == command.syntax.name)
            return &command;
    }
    return nullptr;
}

bool isOperatorCommand(const std::string& name)
{
    return std::any_of(commands().begin(), commands().end(),
        [&](const Command& command) { return command.syntax.name.substr(0, command.syntax.name.find(' ')) == name; });
}

std::string operatorCommandHelp()
{
    std::string help;
    for (const auto& command : commands())
        help += fmt::format("  {}\n      {}\n", internal::usageOf(command.syntax), command.syntax.description);
    return help;
}

static Result<unsigned> runCommand(const std::vector<std::string>& commandLine, const OperatorCommandOptions& options,
    const std::string& changeId, std::ostream& output, std::ostream& errors)
{
    const auto* command = findCommand(commandLine);
    if (!command)
        return fail(ResultCode::InvalidCommand, "unknown command; the commands are:\n" + operatorCommandHelp());
    auto nameWordCount = static_cast<std::ptrdiff_t>(wordCount(command->syntax.name));
    BOOST_LEAF_AUTO(arguments,
        CommandArguments::parse(command->syntax, { commandLine.begin() + nameWordCount, commandLine.end() }));
    BOOST_LEAF_AUTO(code, command->run({ arguments, options, changeId, output, errors }));
    if (!code && !options.json && !command->hint.empty())
        output << "next: " << fmt::format(fmt::runtime(command->hint), changeId) << "\n";
    return code;
}

unsigned runOperatorCommand(const std::vector<std::string>& commandLine, const OperatorCommandOptions& options,
    std::ostream& output, std::ostream& errors)
{
    auto changeId = options.changeId.empty() ? newChangeId() : options.changeId;
    auto code = handleError([&] { return runCommand(commandLine, options, changeId, output, errors); },
        [&](const Error& error) {
            errors << error.message << "\n";
            return static_cast<unsigned>(error.code);
        });
    internal::printResult(code, options.json || code ? errors : output);
    return code;
}

int exitStatusOf(unsigned resultCode)
{
    static constexpr int accepted = 0;
    static constexpr int refused = 1;
    static constexpr int usageError = 2;
    static constexpr int unreachable = 3;
    static constexpr unsigned firstPlatformCode = 600;
    if (resultCode == static_cast<unsigned>(ResultCode::Ok))
        return accepted;
    if (resultCode == static_cast<unsigned>(ResultCode::InvalidCommand))
        return usageError;
    bool noManager = resultCode == static_cast<unsigned>(ResultCode::NotReady);
    return noManager || resultCode >= firstPlatformCode ? unreachable : refused;
}

} // namespace shallotdrift
