#include "ReplayCommands.h"

#include "../Base/Error.h"
#include "Outcomes.h"
#include "TraceGenerator.h"
#include "TraceReplay.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <ostream>

namespace shallotdrift {

namespace {

    using Words = std::vector<std::string>;
    using Options = std::map<std::string, std::string>;

    constexpr uint64_t largestFleetPercent = 1000;

    Result<Options> parseOptions(const Words& words, const std::vector<std::string>& allowed)
    {
        Options options;
        for (const auto& word : words) {
            auto equals = word.find('=');
            auto name = word.substr(0, equals);
            if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
                return fail(ResultCode::InvalidCommand, "unknown option " + word);
            options[name] = equals == std::string::npos ? "" : word.substr(equals + 1);
        }
        return options;
    }

    Result<uint64_t> numberOption(const Options& options, const std::string& name, uint64_t fallback)
    {
        auto option = options.find(name);
        if (option == options.end())
            return fallback;
        uint64_t value = 0;
        const auto& text = option->second;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc {} || end != text.data() + text.size())
            return fail(ResultCode::InvalidCommand, name + " must be a whole number");
        return value;
    }

    Result<Trace> generate(const Options& options)
    {
        GeneratorOptions generator;
        generator.scenario = options.at("--scenario");
        if (auto deployment = options.find("--deployment"); deployment != options.end())
            generator.deployment = deployment->second;
        BOOST_LEAF_ASSIGN(generator.seed, numberOption(options, "--seed", generator.seed));
        BOOST_LEAF_AUTO(percent, numberOption(options, "--fleet", generator.fleetPercent));
        if (percent < 1 || percent > largestFleetPercent)
            return fail(ResultCode::InvalidCommand, "--fleet must be from 1 to 1000 percent");
        generator.fleetPercent = static_cast<unsigned>(percent);
        return generateTrace(generator);
    }

    unsigned number(ResultCode code) { return static_cast<unsigned>(code); }

    unsigned printError(const Error& error, std::ostream& err)
    {
        err << "replay: " << error.message << "\n";
        return number(error.code);
    }

    Result<unsigned> replay(const Words& words, std::ostream& out, std::ostream& err)
    {
        BOOST_LEAF_AUTO(options,
            parseOptions(words,
                { "--trace", "--outcomes", "--policy", "--json", "--scenario", "--deployment", "--seed", "--fleet" }));
        if (options.count("--trace") == options.count("--scenario"))
            return fail(ResultCode::InvalidCommand, "one of --trace=FILE and --scenario=NAME is needed");
        auto policyName = options.count("--policy") ? options["--policy"] : "ours";
        const auto* policy = findReplayPolicy(policyName);
        if (!policy)
            return fail(ResultCode::InvalidCommand, "no policy " + policyName);
        std::vector<StatedOutcome> outcomes;
        if (options.count("--outcomes")) {
            BOOST_LEAF_ASSIGN(outcomes, readOutcomes(options["--outcomes"]));
        }
        BOOST_LEAF_AUTO(trace, options.count("--trace") ? readTrace(options["--trace"]) : generate(options));
        auto report = replayTrace(trace, *policy);
        std::map<std::string, ReplayReport> compared;
        for (const auto& name : comparedPolicies(outcomes)) {
            const auto* other = findReplayPolicy(name);
            if (!other)
                return fail(ResultCode::InvalidTrace, options["--outcomes"] + ": no policy " + name);
            compared[name] = replayTrace(trace, *other);
        }
        auto missed = missedOutcomes(outcomes, report, compared);
        if (options.count("--json")) {
            auto json = reportToJson(report);
            json["stated_outcomes"] = outcomes.size();
            json["missed_outcomes"] = missed;
            out << json.dump(2) << "\n";
        } else {
            printReport(report, out);
            if (!outcomes.empty())
                out << outcomes.size() - missed.size() << " of " << outcomes.size() << " stated outcomes met\n";
        }
        for (const auto& line : missed)
            err << "replay: missed: " << line << "\n";
        return number(missed.empty() ? ResultCode::Ok : ResultCode::StatedOutcomeMissed);
    }

    Result<unsigned> generateToStream(const Words& words, std::ostream& out)
    {
        BOOST_LEAF_AUTO(options, parseOptions(words, { "--scenario", "--deployment", "--seed", "--fleet" }));
        if (!options.count("--scenario"))
            return fail(ResultCode::InvalidCommand, "--scenario=NAME is needed");
        BOOST_LEAF_AUTO(trace, generate(options));
        writeTrace(trace, out);
        return number(ResultCode::Ok);
    }

} // namespace

unsigned runReplayCommand(const Words& words, std::ostream& out, std::ostream& err)
{
    return handleError(
        [&] { return replay(words, out, err); }, [&err](const Error& error) { return printError(error, err); });
}

unsigned runGenerateCommand(const Words& words, std::ostream& out, std::ostream& err)
{
    return handleError(
        [&] { return generateToStream(words, out); }, [&err](const Error& error) { return printError(error, err); });
}

std::string replayHelp()
{
    std::string text = "replay --trace=FILE [--outcomes=FILE] [--policy=ours|static|fifo|least-outstanding] [--json]\n"
                       "replay --scenario=NAME [--deployment=chamber|karoo] [--seed=N] [--fleet=PERCENT] ...\n"
                       "generate-trace --scenario=NAME [--seed=N] [--deployment=chamber|karoo] [--fleet=PERCENT]\n"
                       "scenarios:";
    for (const auto& name : scenarioNames())
        text += " " + name;
    return text + "\n";
}

} // namespace shallotdrift
