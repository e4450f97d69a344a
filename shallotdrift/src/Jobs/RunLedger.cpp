#include "RunLedger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace shallotdrift {

// Job ids consist of hexadecimal digits, so the keys of other records cannot collide with these.
static constexpr char prefix[] = "ledger/";
static constexpr char formerPrefix[] = "unresponsive/";
static constexpr char unresponsiveField[] = "unresponsive";
static constexpr char doubtfulFromField[] = "from";
static constexpr char doubtfulField[] = "doubtful";
static constexpr char longLeaseField[] = "long_lease_ms";

static constexpr Milliseconds recordInterval { 500 };
// Added to a long lease in the record, so that workers that report one after another do not each need a new record.
static constexpr Milliseconds longLeaseSlack { 500 };
static constexpr size_t maximumListedStarts = 200; // bounds the size of the record
static constexpr Milliseconds maximumRemaining { 3600000 }; // excludes an overflow

static Instant fromRemaining(int64_t milliseconds, Instant now)
{
    return now + std::clamp(Milliseconds { milliseconds }, Milliseconds { 0 }, maximumRemaining);
}

static int64_t remainingMilliseconds(Instant until, Instant now)
{
    return std::chrono::ceil<Milliseconds>(until - now).count();
}

RunLedger::RunLedger(const std::string& service, const LeaseOptions& options, Instant takenOverAt)
    : key_(prefix + service)
    , formerKey_(formerPrefix + service)
    , options_(&options)
    , takenOverAt_(takenOverAt)
{
}

void RunLedger::restore(const std::string& text, const std::string& formerRecord, Instant now)
{
    formerRecordStored_ = !formerRecord.empty();
    auto record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object())
        return;
    if (auto workers = record.find(unresponsiveField); workers != record.end() && workers->is_object())
        for (const auto& [id, entry] : workers->items())
            if (entry.is_array() && !entry.empty() && entry[0].is_number_integer()) {
                auto& recorded = unresponsive_[id];
                recorded.at = fromRemaining(entry[0].get<int64_t>(), now);
                if (entry.size() > 1 && entry[1].is_number_integer())
                    recorded.bootTime = entry[1].get<int64_t>();
            }
    if (auto next = record.find(doubtfulFromField); next != record.end() && next->is_number_unsigned())
        doubtfulFrom_ = next->get<uint64_t>();
    if (auto doubtful = record.find(doubtfulField); doubtful != record.end() && doubtful->is_array())
        for (const auto& number : *doubtful)
            if (number.is_number_unsigned())
                doubtfulStarts_.insert(number.get<uint64_t>());
    if (auto remaining = record.find(longLeaseField); remaining != record.end() && remaining->is_number_integer())
        longExpiry_ = restoredLongExpiry_ = fromRemaining(remaining->get<int64_t>(), now);
    nextStart_ = std::max(nextStart_, doubtfulFrom_);
}

bool RunLedger::isRecordedAsDoubtful(uint64_t number) const
{
    return number == 0 || number >= doubtfulFrom_ || doubtfulStarts_.count(number) != 0;
}

bool RunLedger::restoreStart(uint64_t number)
{
    nextStart_ = std::max(nextStart_, number + 1);
    return isRecordedAsDoubtful(number);
}

Worker RunLedger::makeWorker(const std::string& id) const
{
    Worker worker(WorkerLease(*options_, takenOverAt_, restoredLongExpiry_, firstStage_));
    worker.info.id = id;
    if (auto recorded = unresponsive_.find(id); recorded != unresponsive_.end()) {
        worker.lease.limitExpiry(recorded->second.at);
        worker.expiryRecorded = true;
        worker.recordedBootTime = recorded->second.bootTime;
    }
    return worker;
}

std::vector<StateRecord> RunLedger::takeChangedRecords(Workers& workers, Instant now)
{
    if (!updateUnresponsive(workers, now) && !recordDue(workers, now))
        return {};
    std::vector<StateRecord> records { { key_, encode(workers, now) } };
    if (formerRecordStored_)
        records.push_back({ formerKey_, {} });
    formerRecordStored_ = false;
    return records;
}

// Returns true if the set of unresponsive workers with runs has changed.
bool RunLedger::updateUnresponsive(Workers& workers, Instant now)
{
    std::map<std::string, RecordedExpiry> unresponsive;
    for (auto& [id, worker] : workers) {
        // A worker that the previous owner found unresponsive counts as such until it has reported to this owner.
        bool isUnresponsive = worker.unresponsive || (unresponsive_.count(id) != 0 && !worker.reported);
        if (!isUnresponsive || worker.runs.empty())
            continue;
        worker.expiryRecorded = true; // already while the record is being stored
        auto recorded = unresponsive_.find(id);
        unresponsive[id] = recorded == unresponsive_.end() ? RecordedExpiry { now, std::nullopt } : recorded->second;
    }
    bool changed = !std::equal(unresponsive.begin(), unresponsive.end(), unresponsive_.begin(), unresponsive_.end(),
        [](const auto& left, const auto& right) { return left.first == right.first; });
    unresponsive_ = std::move(unresponsive);
    return changed;
}

void RunLedger::onRecordsStored(Workers& workers) const
{
    for (auto& [id, worker] : workers)
        worker.expiryRecorded = worker.expiryRecorded && unresponsive_.count(id) != 0;
}

// Latest expiry of the leases that the next owner would take for expired too early if it took over now. A former
// instant if there are none.
Instant RunLedger::longLeaseExpiry(const Workers& workers, Instant now) const
{
    Instant latest {};
    for (const auto& [id, worker] : workers)
        if (!worker.runs.empty() && worker.lease.expiresAt() > WorkerLease::expiryAfterTakeover(*options_, now))
            latest = std::max(latest, worker.lease.expiresAt());
    return latest;
}

bool RunLedger::recordDue(const Workers& workers, Instant now) const
{
    auto expiry = longLeaseExpiry(workers, now);
    if (expiry > longExpiry_)
        return true;
    if (now - recordedAt_ < recordInterval)
        return false;
    // The remaining times of the unresponsive workers are shorter by now.
    if (!unresponsive_.empty() || (expiry == Instant {} && longExpiry_ != Instant {}))
        return true;
    for (const auto& [id, worker] : workers)
        for (const auto& [task, run] : worker.runs)
            if (run.startNumber != 0 && run.startSent && !run.doubtful() && isRecordedAsDoubtful(run.startNumber))
                return true;
    return false;
}

std::string RunLedger::encode(const Workers& workers, Instant now)
{
    doubtfulStarts_.clear();
    for (const auto& [id, worker] : workers)
        for (const auto& [task, run] : worker.runs)
            if (run.startNumber != 0 && (!run.startSent || run.doubtful()))
                doubtfulStarts_.insert(run.startNumber);
    doubtfulFrom_ = nextStart_;
    // The starts that are left out, and all later ones, count as doubtful.
    if (doubtfulStarts_.size() > maximumListedStarts) {
        auto firstUnlisted = std::next(doubtfulStarts_.begin(), static_cast<ptrdiff_t>(maximumListedStarts));
        doubtfulFrom_ = *firstUnlisted;
        doubtfulStarts_.erase(firstUnlisted, doubtfulStarts_.end());
    }
    recordedAt_ = now;
    nlohmann::json record { { doubtfulFromField, doubtfulFrom_ }, { doubtfulField, doubtfulStarts_ } };
    auto& unresponsive = record[unresponsiveField] = nlohmann::json::object();
    for (auto& [id, expiry] : unresponsive_) {
        const auto& worker = workers.at(id);
        expiry = { worker.lease.expiresAt(),
            worker.reported ? std::optional(worker.info.bootTime) : worker.recordedBootTime };
        unresponsive[id] = nlohmann::json::array({ remainingMilliseconds(expiry.at, now) });
        if (expiry.bootTime)
            unresponsive[id].push_back(*expiry.bootTime);
    }
    longExpiry_ = longLeaseExpiry(workers, now);
    if (longExpiry_ != Instant {}) {
        longExpiry_ += longLeaseSlack;
        record[longLeaseField] = remainingMilliseconds(longExpiry_, now);
    }
    return record.dump();
}

std::optional<std::string> RunLedger::findViolation(const Workers& workers, Instant now) const
{
    for (const auto& [id, worker] : workers)
        for (const auto& [task, run] : worker.runs) {
            if (!run.startSent || run.startNumber == 0)
                continue;
            if (run.startNumber >= nextStart_)
                return "start " + std::to_string(run.startNumber) + " was not numbered here";
            if (isRecordedAsDoubtful(run.startNumber))
                continue; // the next owner assumes the longest lease
            if (run.doubtful())
                return "start " + std::to_string(run.startNumber) + " on " + id + " is recorded as answered";
            auto recorded = unresponsive_.find(id);
            auto assumed = recorded != unresponsive_.end()
                ? recorded->second.at
                : std::max(longExpiry_, WorkerLease::expiryAfterTakeover(*options_, now));
            if (worker.lease.expiresAt() > assumed)
                return "the lease of " + id + " outlasts the recorded one";
        }
    return std::nullopt;
}

} // namespace shallotdrift
