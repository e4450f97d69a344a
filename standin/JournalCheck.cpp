#include "JournalCheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>
#include <unordered_set>

namespace shallotdrift::standin {

JournalCheck::JournalCheck(Milliseconds leavingLimit)
    : leavingLimit_(leavingLimit)
{
}

void JournalCheck::add(std::istream& input, const std::string& name)
{
    uint64_t number = 0;
    for (std::string line; std::getline(input, line);) {
        ++number;
        if (input.eof()) // the line end is missing
            return;
        try {
            addLine(nlohmann::json::parse(line));
        } catch (const nlohmann::json::exception& error) {
            unreadable_.push_back({ "readable journal", fmt::format("{}:{}: {}", name, number, error.what()) });
        }
    }
}

void JournalCheck::addLine(const nlohmann::json& line)
{
    auto text = [&line](const char* name) { return line.value(name, std::string()); };
    auto event = line.at("event").get<std::string>();
    int64_t time = line.at("time");
    ++counts_[event];
    if (event == "run_start" || event == "run_end") {
        Run run { time, text("instance"), text("pool"), text("requested_pool"), text("request_id"), text("key") };
        (event == "run_start" ? runs_ : ends_).push_back(std::move(run));
    } else if (event == "run_cut") {
        cuts_.push_back({ time, text("instance"), text("request_id") });
    } else if (event == "mark") {
        marks_[text("instance")].push_back({ time, text("state") != "active" });
    } else if (event == "answer" || event == "no_answer") {
        answers_.push_back({ time, text("request_id"), text("key"), line.value("code", 0U), text("execution"),
            line.value("whole", false), line.value("belongs", false), event == "no_answer" });
    }
}

const std::vector<JournalCheck::Rule>& JournalCheck::rules()
{
    static const std::vector<Rule> table {
        &JournalCheck::checkSomethingRan,
        &JournalCheck::checkKeysRanOnce,
        &JournalCheck::checkNotRunNeverRan,
        &JournalCheck::checkAnswersBelong,
        &JournalCheck::checkAnswersHaveRuns,
        &JournalCheck::checkPools,
        &JournalCheck::checkLeaving,
        &JournalCheck::checkCuts,
    };
    return table;
}

std::vector<Violation> JournalCheck::violations() const
{
    auto found = unreadable_;
    for (auto rule : rules())
        (this->*rule)(found);
    return found;
}

// Empty journals would satisfy every other rule.
void JournalCheck::checkSomethingRan(std::vector<Violation>& found) const
{
    if (runs_.empty())
        found.push_back({ "something ran", "the journals hold no run" });
    if (answers_.empty())
        found.push_back({ "something ran", "the journals hold no answer" });
}

void JournalCheck::checkKeysRanOnce(std::vector<Violation>& found) const
{
    std::unordered_map<std::string, const Run*> first;
    for (const auto& run : runs_) {
        if (run.key.empty())
            continue;
        auto [known, added] = first.emplace(run.key, &run);
        if (!added)
            found.push_back({ "a key runs at most once",
                fmt::format("key {} ran on {} ({}) and on {} ({})", run.key, known->second->instance,
                    known->second->requestId, run.instance, run.requestId) });
    }
}

void JournalCheck::checkNotRunNeverRan(std::vector<Violation>& found) const
{
    std::unordered_map<std::string, const Run*> byRequest;
    for (const auto& run : runs_)
        byRequest.emplace(run.requestId, &run);
    for (const auto& answer : answers_) {
        if (answer.lost || answer.execution != "not-run")
            continue;
        auto run = byRequest.find(answer.requestId);
        if (run != byRequest.end())
            found.push_back({ "not run did not run",
                fmt::format("{} was answered {} not-run but ran on {}", answer.requestId, answer.code,
                    run->second->instance) });
    }
}

void JournalCheck::checkAnswersBelong(std::vector<Violation>& found) const
{
    std::unordered_set<std::string> seen;
    for (const auto& answer : answers_) {
        if (!seen.insert(answer.requestId).second)
            found.push_back({ "one answer for each request", answer.requestId + " has two lines" });
        if (answer.lost)
            continue;
        if (!answer.belongs)
            found.push_back({ "an answer belongs to its request", answer.requestId });
        if (!answer.whole)
            found.push_back({ "an answer is whole", answer.requestId });
    }
}

void JournalCheck::checkAnswersHaveRuns(std::vector<Violation>& found) const
{
    std::unordered_set<std::string> ended;
    for (const auto& end : ends_) {
        ended.insert("request " + end.requestId);
        if (!end.key.empty())
            ended.insert("key " + end.key);
    }
    for (const auto& answer : answers_) {
        if (answer.lost || answer.execution != "ran")
            continue;
        // A retry with a key is answered with the outcome of the try that ran.
        bool known = ended.count("request " + answer.requestId) > 0
            || (!answer.key.empty() && ended.count("key " + answer.key) > 0);
        if (!known)
            found.push_back({ "ran did run",
                fmt::format("{} was answered {} ran but no run ended", answer.requestId, answer.code) });
    }
}

void JournalCheck::checkPools(std::vector<Violation>& found) const
{
    for (const auto& run : runs_) {
        if (run.pool != run.requestedPool)
            found.push_back({ "runs in the requested pool",
                fmt::format("{} asked for pool {} and ran on {} of pool {}", run.requestId, run.requestedPool,
                    run.instance, run.pool) });
    }
}

void JournalCheck::checkLeaving(std::vector<Violation>& found) const
{
    auto sorted = marks_;
    for (auto& [instance, marks] : sorted)
        std::stable_sort(marks.begin(), marks.end(), [](const Mark& a, const Mark& b) { return a.time < b.time; });
    for (const auto& run : runs_) {
        auto marks = sorted.find(run.instance);
        if (marks == sorted.end())
            continue;
        int64_t leavingSince = INT64_MAX; // repeated marks do not extend the time
        for (const auto& mark : marks->second) {
            if (mark.time > run.start)
                break;
            if (!mark.leaving)
                leavingSince = INT64_MAX;
            else
                leavingSince = std::min(leavingSince, mark.time);
        }
        if (leavingSince != INT64_MAX && run.start - leavingSince > leavingLimit_.count())
            found.push_back({ "no new work on a leaving instance",
                fmt::format(
                    "{} started on {} {} ms after its mark", run.requestId, run.instance, run.start - leavingSince) });
    }
}

// Only runs whose caller was still waiting count: an abandoned run may be cut off.
void JournalCheck::checkCuts(std::vector<Violation>& found) const
{
    std::unordered_map<std::string, const Answer*> byRequest;
    for (const auto& answer : answers_)
        byRequest.emplace(answer.requestId, &answer);
    for (const auto& cut : cuts_) {
        auto answer = byRequest.find(cut.requestId);
        if (answer != byRequest.end() && answer->second->time >= cut.time)
            found.push_back({ "a planned stop cuts off no request",
                fmt::format("{} was cut off on {} while its caller waited", cut.requestId, cut.instance) });
    }
}

} // namespace shallotdrift::standin
