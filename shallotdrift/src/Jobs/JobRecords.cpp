#include "JobRecords.h"

#include "../Base/Hash.h"

#include <algorithm>

namespace shallotdrift {

static constexpr char stateSuffix = '~';
static constexpr size_t keyLengthBytes = 1;
static constexpr size_t maximumPartDigits = 6;

std::string stateKey(const std::string& job, uint32_t part)
{
    return part == 0 ? job + stateSuffix : job + stateSuffix + std::to_string(part);
}

JobKey parseJobKey(const std::string& key)
{
    auto suffix = key.rfind(stateSuffix);
    if (suffix == std::string::npos || key.find('/') != std::string::npos)
        return { key, std::nullopt };
    auto digits = key.substr(suffix + 1);
    if (digits.size() > maximumPartDigits
        || !std::all_of(digits.begin(), digits.end(), [](char digit) { return digit >= '0' && digit <= '9'; }))
        return { key, std::nullopt };
    return { key.substr(0, suffix), digits.empty() ? 0 : static_cast<uint32_t>(std::stoul(digits)) };
}

void addChangedRecords(Job& job, size_t maximumRecordBytes, std::vector<StateRecord>& records)
{
    const auto& id = job.id();
    job.dirty = false;
    bool ended = !job.active() && !job.hasRuns();
    if (!job.specStored && !ended)
        records.push_back({ id, job.encodeSpec() });
    size_t reserved = keyLengthBytes + stateKey(id).size() + maximumPartDigits;
    auto parts = job.encodeState(maximumRecordBytes - std::min(maximumRecordBytes, reserved));
    if (ended) {
        records.push_back({ stateKey(id), std::move(parts.front()) });
        for (size_t part = 1; part < job.storedParts.size(); ++part)
            records.push_back({ stateKey(id, static_cast<uint32_t>(part)), {} });
        if (job.specStored)
            records.push_back({ id, {} });
    } else {
        // A row only ever moves to a part with a higher number, so the higher parts are written first.
        job.storedParts.resize(parts.size(), 0);
        for (size_t part = parts.size(); part-- > 0;) {
            auto hash = hash64(parts[part]);
            if (parts.size() > 1 && hash == job.storedParts[part])
                continue;
            job.storedParts[part] = hash;
            records.push_back({ stateKey(id, static_cast<uint32_t>(part)), std::move(parts[part]) });
        }
    }
    job.specStored = true;
}

bool specFitsRecord(const Job& job, size_t maximumRecordBytes)
{
    return keyLengthBytes + job.id().size() + job.encodeSpec().size() <= maximumRecordBytes;
}

} // namespace shallotdrift
