#pragma once

#include "ReplayReport.h"
#include "Trace.h"

#include <map>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Requests of a kind at one moment.
struct KindUse {
    uint32_t open = 0; // arrived and not ended
    uint32_t running = 0; // on instances
    uint32_t lost = 0; // on instances that died, without an answer yet
    uint32_t refusedInSecond = 0; // in the last second
};

// Collects what happens in a replay and turns it into the report.
class Measures {
public:
    explicit Measures(const Trace&);

    void refused(size_t request, ResultCode);
    // The final attempt ended; late answers count as failures.
    void completed(size_t request, ResultCode, bool inTime, Microseconds startDelay);
    void cancelled(size_t request);
    // Slots of the pool and their use by a kind, for the guaranteed shares; to be called at each interval.
    void sampleUse(
        const std::string& kind, uint32_t poolSlots, const KindUse&, Microseconds now, Microseconds interval);

    ReplayReport& report() { return report_; }
    ReplayReport finish();

private:
    // Use of slots in one second, in slot-seconds.
    struct Window {
        double guaranteed = 0;
        double used = 0;
        double unserved = 0; // work that waits at the end, or was refused
    };

    void endedBadJob(size_t request, ResultCode);
    void count(size_t request, void (*change)(KindReport&, ResultCode), ResultCode);
    double guaranteedKept(const std::string& kind, Microseconds from, Microseconds to) const;
    static void setDelays(KindReport&, std::vector<double>& delays);

    const Trace& trace_;
    ReplayReport report_;
    std::vector<std::vector<size_t>> phasesOf_; // by request
    std::map<std::string, std::vector<double>> delays_; // milliseconds, by kind
    std::map<std::string, std::map<std::string, std::vector<double>>> phaseDelays_;
    std::map<std::string, std::map<int64_t, Window>> windows_; // by kind, then number
};

} // namespace shallotdrift::internal
