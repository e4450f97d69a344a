#pragma once

#include "../Base/Digest.h"

#include <cstdint>
#include <string>

namespace shallotdrift::internal {

// Numbers of lease requests: the upper half identifies the process that asks, the lower half counts its requests. An
// answer to a previous process of the same entry therefore matches no request of the present one.
inline uint64_t firstRequestNumber(const std::string& entry, uint64_t boot)
{
    return digestOf(entry, boot) & 0xffffffff00000000ULL;
}

inline uint32_t processOf(uint64_t requestNumber) { return static_cast<uint32_t>(requestNumber >> 32); }

} // namespace shallotdrift::internal
