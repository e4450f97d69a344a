#include "Trace.h"

#include "JsonLine.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace shallotdrift {

using internal::JsonLine;
using Json = nlohmann::json;

namespace {

    constexpr int64_t formatVersion = 1;
    constexpr int64_t longestMicroseconds = 86'400'000'000; // a day
    constexpr int64_t longestMilliseconds = 86'400'000;
    constexpr int64_t mostEntries = 64;
    constexpr int64_t mostSlots = 1024;

    struct EnvironmentMember {
        const char* name;
        Microseconds TraceEnvironment::*member;
    };
    constexpr EnvironmentMember environmentMembers[] = {
        { "zone_delay_us", &TraceEnvironment::zoneDelay },
        { "local_delay_us", &TraceEnvironment::localDelay },
        { "append_delay_us", &TraceEnvironment::appendDelay },
        { "view_delay_us", &TraceEnvironment::viewDelay },
        { "list_delay_us", &TraceEnvironment::listDelay },
        { "reboot_us", &TraceEnvironment::rebootTime },
        { "maintenance_us", &TraceEnvironment::maintenanceTime },
    };

    const std::map<std::string, TraceEvent::Action>& actionNames()
    {
        static const std::map<std::string, TraceEvent::Action> names {
            { "lose", TraceEvent::Action::Lose },
            { "restore", TraceEvent::Action::Restore },
            { "fail-all", TraceEvent::Action::FailAll },
            { "heal", TraceEvent::Action::Heal },
            { "wave", TraceEvent::Action::Wave },
        };
        return names;
    }

    class TraceParser {
    public:
        explicit TraceParser(std::string source)
            : source_(std::move(source))
        {
        }

        Result<Trace> parse(std::istream& stream)
        {
            std::string text;
            for (unsigned number = 1; std::getline(stream, text); ++number) {
                if (!text.empty())
                    parseLine(text, number);
            }
            if (!headerSeen_)
                mistakes_.push_back(source_ + ":1: the header is missing");
            if (!mistakes_.empty())
                return fail(ResultCode::InvalidTrace, joined());
            auto byTime = [](const auto& a, const auto& b) { return a.at < b.at; };
            std::stable_sort(trace_.requests.begin(), trace_.requests.end(), byTime);
            std::stable_sort(trace_.events.begin(), trace_.events.end(), byTime);
            return std::move(trace_);
        }

    private:
        void parseLine(const std::string& text, unsigned number)
        {
            place_ = source_ + ":" + std::to_string(number);
            Json object = Json::parse(text, nullptr, false);
            JsonLine line(object, place_, mistakes_);
            if (!object.is_object())
                return line.mistake("a line must be one JSON object");
            if (line.has("trace"))
                parseHeader(line);
            else if (!headerSeen_)
                return line.mistake("the header must come first");
            else if (line.has("request"))
                parseRequest(line);
            else if (line.has("instance") && !line.has("event"))
                parseInstance(line);
            else if (line.has("phase"))
                parsePhase(line);
            else if (line.has("event"))
                parseEvent(line);
            else
                return line.mistake("a line needs one of trace, instance, phase, event, request");
            line.rejectUnknown();
        }

        void parseHeader(JsonLine& line)
        {
            if (headerSeen_)
                return line.mistake("the header is given twice");
            headerSeen_ = true;
            trace_.name = line.text("trace", true);
            line.number("version", formatVersion, formatVersion);
            trace_.seed = static_cast<uint64_t>(line.number("seed", 0, std::numeric_limits<int64_t>::max(), 1));
            trace_.duration = Microseconds { line.number("duration_us", 1, longestMicroseconds) };
            trace_.entries = static_cast<uint32_t>(line.number("entries", 1, mostEntries, 8));
            trace_.floods = static_cast<uint32_t>(line.number("floods", 0, 10000, 0));
            for (const auto& member : environmentMembers) {
                auto& value = trace_.environment.*member.member;
                value = Microseconds { line.number(member.name, 0, longestMicroseconds, value.count()) };
            }
            trace_.configurationIni = line.text("configuration", true);
            handleError(
                [this]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(trace_.configuration, parseFleetConfiguration(trace_.configurationIni, place_));
                    return {};
                },
                [&line](const Error& error) { line.mistake("configuration: " + error.message); });
        }

        void parseInstance(JsonLine& line)
        {
            TraceInstance instance;
            instance.id = line.text("instance", true);
            instance.zone = line.text("zone", true);
            instance.rack = line.text("rack", true);
            instance.pool = line.text("pool", true);
            instance.slots = static_cast<uint32_t>(line.number("slots", 1, mostSlots));
            if (!trace_.configuration.zones.count(instance.zone))
                line.mistake("zone " + instance.zone + " is not in the configuration");
            if (!trace_.configuration.pools.count(instance.pool))
                line.mistake("pool " + instance.pool + " is not in the configuration");
            if (!instanceIds_.insert(instance.id).second)
                line.mistake("instance " + instance.id + " is given twice");
            trace_.instances.push_back(std::move(instance));
        }

        void parsePhase(JsonLine& line)
        {
            TracePhase phase;
            phase.name = line.text("phase", true);
            phase.from = Microseconds { line.number("from_us", 0, longestMicroseconds) };
            phase.to = Microseconds { line.number("to_us", 0, longestMicroseconds) };
            if (phase.to <= phase.from)
                line.mistake("to_us must be after from_us");
            trace_.phases.push_back(std::move(phase));
        }

        void parseEvent(JsonLine& line)
        {
            TraceEvent event;
            auto name = line.text("event", true);
            auto action = actionNames().find(name);
            if (action == actionNames().end())
                line.mistake("event must be one of lose, restore, fail-all, heal, wave");
            else
                event.action = action->second;
            event.at = Microseconds { line.number("at_us", 0, longestMicroseconds) };
            event.zone = line.text("zone");
            event.rack = line.text("rack");
            event.pool = line.text("pool");
            event.instance = line.text("instance");
            trace_.events.push_back(std::move(event));
        }

        void parseRequest(JsonLine& line)
        {
            TraceRequest request;
            request.kind = line.text("request", true);
            request.at = Microseconds { line.number("at_us", 0, longestMicroseconds) };
            request.runtime = Microseconds { line.number("runtime_us", 1, longestMicroseconds) };
            request.timeout = Milliseconds { line.number("timeout_ms", 1, longestMilliseconds) };
            request.declaredRuntime = Milliseconds { line.number("declared_ms", 0, longestMilliseconds, 0) };
            request.team = line.text("team");
            request.cannotRun = line.flag("cannot_run");
            if (line.has("cancel_after_ms"))
                request.cancelAfter = Milliseconds { line.number("cancel_after_ms", 0, longestMilliseconds) };
            if (!trace_.configuration.kinds.count(request.kind))
                line.mistake("kind " + request.kind + " is not in the configuration");
            trace_.requests.push_back(std::move(request));
        }

        std::string joined() const
        {
            std::string text;
            for (const auto& mistake : mistakes_)
                text += (text.empty() ? "" : "\n") + mistake;
            return text;
        }

        std::string source_;
        std::string place_;
        bool headerSeen_ = false;
        Trace trace_;
        std::set<std::string> instanceIds_;
        std::vector<std::string> mistakes_;
    };

} // namespace

Result<Trace> parseTrace(std::istream& stream, const std::string& source) { return TraceParser(source).parse(stream); }

Result<Trace> readTrace(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ResultCode::InvalidTrace, path + ":1: the file cannot be read");
    return parseTrace(file, path);
}

static nlohmann::ordered_json headerOf(const Trace& trace)
{
    nlohmann::ordered_json line { { "trace", trace.name }, { "version", formatVersion }, { "seed", trace.seed },
        { "duration_us", trace.duration.count() }, { "entries", trace.entries }, { "floods", trace.floods } };
    for (const auto& member : environmentMembers)
        line[member.name] = (trace.environment.*member.member).count();
    line["configuration"] = trace.configurationIni;
    return line;
}

static nlohmann::ordered_json lineOf(const TraceEvent& event)
{
    nlohmann::ordered_json line;
    for (const auto& [name, action] : actionNames()) {
        if (action == event.action)
            line["event"] = name;
    }
    line["at_us"] = event.at.count();
    auto add = [&line](const char* name, const std::string& value) {
        if (!value.empty())
            line[name] = value;
    };
    add("zone", event.zone);
    add("rack", event.rack);
    add("pool", event.pool);
    add("instance", event.instance);
    return line;
}

static nlohmann::ordered_json lineOf(const TraceRequest& request)
{
    nlohmann::ordered_json line { { "request", request.kind }, { "at_us", request.at.count() },
        { "runtime_us", request.runtime.count() }, { "timeout_ms", request.timeout.count() } };
    if (request.declaredRuntime.count())
        line["declared_ms"] = request.declaredRuntime.count();
    if (!request.team.empty())
        line["team"] = request.team;
    if (request.cannotRun)
        line["cannot_run"] = true;
    if (request.cancelAfter)
        line["cancel_after_ms"] = request.cancelAfter->count();
    return line;
}

void writeTrace(const Trace& trace, std::ostream& stream)
{
    stream << headerOf(trace).dump() << "\n";
    for (const auto& instance : trace.instances) {
        stream << nlohmann::ordered_json { { "instance", instance.id }, { "zone", instance.zone },
            { "rack", instance.rack }, { "pool", instance.pool }, { "slots", instance.slots } }
                      .dump()
               << "\n";
    }
    for (const auto& phase : trace.phases) {
        stream << nlohmann::ordered_json { { "phase", phase.name }, { "from_us", phase.from.count() },
            { "to_us", phase.to.count() } }
                      .dump()
               << "\n";
    }
    for (const auto& event : trace.events)
        stream << lineOf(event).dump() << "\n";
    for (const auto& request : trace.requests)
        stream << lineOf(request).dump() << "\n";
}

} // namespace shallotdrift
