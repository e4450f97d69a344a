#include "Measures.h"

#include <algorithm>
#include <cmath>

namespace shallotdrift::internal {

// The guaranteed shares hold over a sliding second.
static constexpr Microseconds windowLength = std::chrono::seconds(1);

static double secondsOf(Microseconds time) { return std::chrono::duration<double>(time).count(); }

Measures::Measures(const Trace& trace)
    : trace_(trace)
    , phasesOf_(trace.requests.size())
{
    for (const auto& [name, kind] : trace.configuration.kinds) {
        if (!kind.longRunning)
            report_.kinds[name];
    }
    for (size_t i = 0; i < trace.requests.size(); ++i) {
        const auto& request = trace.requests[i];
        for (size_t phase = 0; phase < trace.phases.size(); ++phase) {
            if (request.at >= trace.phases[phase].from && request.at < trace.phases[phase].to)
                phasesOf_[i].push_back(phase);
        }
    }
}

void Measures::count(size_t request, void (*change)(KindReport&, ResultCode), ResultCode code)
{
    const auto& kind = trace_.requests[request].kind;
    change(report_.total, code);
    change(report_.kinds[kind], code);
    for (size_t phase : phasesOf_[request])
        change(report_.phases[trace_.phases[phase].name][kind], code);
}

void Measures::endedBadJob(size_t request, ResultCode code)
{
    count(
        request,
        [](KindReport& kind, ResultCode value) {
            ++kind.cannotRun;
            bool told = value == ResultCode::CannotRun || value == ResultCode::JobFailed;
            kind.cannotRunAnswered += told ? 1 : 0;
        },
        code);
}

void Measures::refused(size_t request, ResultCode code)
{
    if (trace_.requests[request].cannotRun)
        return endedBadJob(request, code);
    count(
        request,
        [](KindReport& kind, ResultCode value) {
            ++kind.offered;
            ++kind.refusals[value];
        },
        code);
}

void Measures::completed(size_t request, ResultCode code, bool inTime, Microseconds startDelay)
{
    if (trace_.requests[request].cannotRun)
        return endedBadJob(request, code);
    if (inTime) {
        count(
            request,
            [](KindReport& kind, ResultCode) {
                ++kind.offered;
                ++kind.inTime;
            },
            code);
        const auto& kind = trace_.requests[request].kind;
        double delay = secondsOf(startDelay) * 1000;
        delays_[kind].push_back(delay);
        for (size_t phase : phasesOf_[request])
            phaseDelays_[trace_.phases[phase].name][kind].push_back(delay);
        return;
    }
    count(
        request,
        [](KindReport& kind, ResultCode value) {
            ++kind.offered;
            ++kind.failures[value];
        },
        code == ResultCode::Ok ? ResultCode::AnswerTimeout : code);
}

void Measures::cancelled(size_t request)
{
    count(
        request, [](KindReport& kind, ResultCode) { ++kind.cancelled; }, ResultCode::Cancelled);
}

void Measures::sampleUse(
    const std::string& kind, uint32_t poolSlots, const KindUse& use, Microseconds now, Microseconds interval)
{
    const auto& configuration = trace_.configuration.kinds.at(kind);
    auto& window = windows_[kind][now / windowLength];
    window.guaranteed += configuration.guaranteedShare * poolSlots * secondsOf(interval);
    window.used += use.running * secondsOf(interval);
    // The last sample of a second counts. A request that waits could have used one slot for at most the second.
    double waiting = use.open - std::min(use.open, use.running + use.lost);
    double each = std::min(secondsOf(configuration.expectedRuntime), secondsOf(windowLength));
    window.unserved = (waiting + use.refusedInSecond) * each;
}

double Measures::guaranteedKept(const std::string& kind, Microseconds from, Microseconds to) const
{
    auto windows = windows_.find(kind);
    if (windows == windows_.end())
        return 1;
    double due = 0;
    double kept = 0;
    for (const auto& [number, window] : windows->second) {
        if (windowLength * number < from || windowLength * number >= to)
            continue;
        double dueInWindow = std::min(window.guaranteed, window.used + window.unserved);
        due += dueInWindow;
        kept += std::min(dueInWindow, window.used);
    }
    return due > 0 ? kept / due : 1;
}

void Measures::setDelays(KindReport& kind, std::vector<double>& delays)
{
    if (delays.empty())
        return;
    std::sort(delays.begin(), delays.end());
    auto at = [&delays](double part) {
        return delays[static_cast<size_t>(std::floor(part * static_cast<double>(delays.size() - 1)))];
    };
    kind.startDelayP50Milliseconds = at(0.5);
    kind.startDelayP99Milliseconds = at(0.99);
}

ReplayReport Measures::finish()
{
    std::vector<double> all;
    for (auto& [name, kind] : report_.kinds) {
        setDelays(kind, delays_[name]);
        all.insert(all.end(), delays_[name].begin(), delays_[name].end());
        kind.guaranteedKept = guaranteedKept(name, Microseconds { 0 }, trace_.duration);
        report_.total.guaranteedKept = std::min(report_.total.guaranteedKept, kind.guaranteedKept);
    }
    setDelays(report_.total, all);
    for (const auto& phase : trace_.phases) {
        for (auto& [name, kind] : report_.phases[phase.name]) {
            setDelays(kind, phaseDelays_[phase.name][name]);
            kind.guaranteedKept = guaranteedKept(name, phase.from, phase.to);
        }
    }
    return std::move(report_);
}

} // namespace shallotdrift::internal
